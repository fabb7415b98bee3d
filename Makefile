PYTHON := .venv/bin/python
STAMP := .venv/.installed
SEED ?= 7
SECONDS ?= 20
SEEDS ?= 1
NODES ?= 8
SHARE ?= 1
KIND ?= all
OPTIONS ?=

export PYTHONHASHSEED := 0

PARAMETER ?= gypsumring.dispatch.reserving:MAX_RESERVED_SHARE
VALUES ?= 0,0.15,0.3,0.45

.PHONY: demo test bench soak cells accounts outlasting deadly liveness waits ownership nodes partitions experiment ablation report format

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3.11 -m venv .venv
	.venv/bin/pip install -q -r requirements.lock
	.venv/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m demo

test: $(STAMP)
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	$(PYTHON) -W error::SyntaxWarning -m unittest discover -t . -s . -p "test_*.py"

bench: $(STAMP)
	$(PYTHON) -m benchmarks

soak: $(STAMP)
	$(PYTHON) -m soak --seed $(SEED) --seconds $(SECONDS)

cells: $(STAMP)
	$(PYTHON) -m soak.cells --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) 2>/dev/null

accounts: $(STAMP)
	$(PYTHON) -m soak.accounts --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) 2>/dev/null

outlasting: $(STAMP)
	$(PYTHON) -m soak.outlasting --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) 2>/dev/null

deadly: $(STAMP)
	$(PYTHON) -m soak.deadly --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) 2>/dev/null

liveness: $(STAMP)
	$(PYTHON) -m soak.liveness --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) 2>/dev/null

waits: $(STAMP)
	$(PYTHON) -m soak.waits --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) 2>/dev/null

ownership: $(STAMP)
	$(PYTHON) -m soak.ownership --seed $(SEED) --seeds $(SEEDS) $(OPTIONS) 2>/dev/null

nodes: $(STAMP)
	$(PYTHON) -m soak.nodes --seed $(SEED) --seeds $(SEEDS) --nodes $(NODES) --seconds $(SECONDS) --share $(SHARE)

partitions: $(STAMP)
	$(PYTHON) -m soak.partitions --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) --kind $(KIND)

experiment: $(STAMP)
	$(PYTHON) -m experiments --parameter $(PARAMETER) --values $(VALUES) --seed $(SEED) --seeds $(SEEDS)

ablation: $(STAMP)
	$(PYTHON) -m experiments.ablation --seed $(SEED) --seeds 5

report: $(STAMP)
	$(PYTHON) -m benchmarks.report

format: $(STAMP)
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix .
