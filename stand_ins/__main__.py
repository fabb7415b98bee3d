"""Run the stand-ins as ``python -m stand_ins``."""

from stand_ins.main import main

if __name__ == "__main__":
    main()
