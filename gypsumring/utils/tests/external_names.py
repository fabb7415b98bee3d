"""Collect the names that leave the processes of gypsumring.

``python -m gypsumring.utils.tests.external_names`` writes the list anew. A change of
the list is a change of the interface to clients, peers, stored data or operators.
"""

import ast
import enum
import importlib
import json
import pathlib
import pkgutil
import re
import tomllib
from collections.abc import Iterator
from typing import Any

import click
import msgspec

import gypsumring
from gypsumring.cli.main import cli

__all__ = ["LIST_PATH", "collect"]

ROOT = pathlib.Path(gypsumring.__file__).parent
LIST_PATH = pathlib.Path(__file__).with_name("external_names.json")
DEPLOY_PATH = ROOT.parent / "deploy"
OPERATIONS_PATH = ROOT.parent / "docs" / "OPERATIONS.md"
# A key or a placeholder of the template of settings.
TEMPLATE_NAME = re.compile(r"\"\w+\":|\{\{[^}]*\}\}")
LOG_METHODS = {"debug", "info", "warning", "error", "exception"}
# Folders whose programs read log lines that nodes have written.
READER_FOLDERS = ("gypsumring/cli", "soak", "stand_ins")


def collect() -> dict[str, list[str]]:
    """Return sorted names by the place where they leave the process."""
    modules = list(import_modules())
    paths = list_sources(ROOT)
    trees = [parse(path) for path in paths]
    writers = [
        parse(path) for path in paths if path.relative_to(ROOT).parts[0] != "cli"
    ]
    texts = {text for tree in writers for text in find_texts(tree)}
    return {
        "structs": sorted(describe_struct(each) for each in find_structs(modules)),
        "enums": sorted(describe_enum(each) for each in find_enums(modules)),
        "commands": sorted(describe_command(cli, "gypsumring")),
        "deploy": sorted(list_deploy_keys()),
        "log_fields": sorted(
            {name for tree in trees for name in find_log_fields(tree)}
        ),
        "texts_read": sorted(texts & find_read_texts()),
        "literals": sorted({text for tree in trees for text in find_names(tree)}),
    }


def import_modules() -> Iterator[Any]:
    """Import all modules of the package except tests and programs."""
    for found in pkgutil.walk_packages(gypsumring.__path__, "gypsumring."):
        parts = found.name.split(".")
        if "tests" not in parts and parts[-1] != "__main__":
            yield importlib.import_module(found.name)


def list_sources(folder: pathlib.Path) -> list[pathlib.Path]:
    """Return the source files below a folder, without tests."""
    paths = sorted(folder.rglob("*.py"))
    return [path for path in paths if "tests" not in path.relative_to(folder).parts]


def parse(path: pathlib.Path) -> ast.Module:
    """Parse a source file."""
    return ast.parse(path.read_text())


def list_classes(modules: list[Any], base: type) -> list[Any]:
    """Return the classes that the modules define under a base class."""
    return [
        value
        for module in modules
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, base)
        and value.__module__ == module.__name__
    ]


def find_structs(modules: list[Any]) -> list[Any]:
    """Return the classes of messages, records and settings."""
    return list_classes(modules, msgspec.Struct)


def find_enums(modules: list[Any]) -> list[Any]:
    """Return the enumerations."""
    return list_classes(modules, enum.Enum)


def describe_struct(struct: Any) -> str:
    """Return the tag of a struct and its fields as they are encoded."""
    config = struct.__struct_config__
    kind = "array" if config.array_like else "object"
    tag = "" if config.tag is None else f"{config.tag} "
    return f"{tag}{kind}: {', '.join(struct.__struct_encode_fields__)}"


def describe_enum(kind: Any) -> str:
    """Return the values of an enumeration."""
    return ", ".join(str(member.value) for member in kind)


def describe_command(command: click.Command, path: str) -> Iterator[str]:
    """Return the options and arguments of a command and of those below it."""
    options = []
    for parameter in command.params:
        if isinstance(parameter, click.Option):
            options.append("/".join([*parameter.opts, *parameter.secondary_opts]))
        else:
            options.append(parameter.make_metavar(click.Context(command)))
    yield f"{path}: {' '.join(options)}"
    if isinstance(command, click.Group):
        for name, child in command.commands.items():
            yield from describe_command(child, f"{path} {name}")


def list_deploy_keys() -> Iterator[str]:
    """Return the keys of the deploy file and of the templates of settings."""
    for path in sorted(DEPLOY_PATH.glob("*.toml")):
        yield from flatten_keys(tomllib.loads(path.read_text()), path.name)
    # The template of settings is no JSON before the platform has filled it in.
    for path in sorted(DEPLOY_PATH.glob("*.json")):
        for name in TEMPLATE_NAME.findall(path.read_text()):
            yield f"{path.name} {name}"


def flatten_keys(value: Any, path: str) -> Iterator[str]:
    """Return the paths of the leaves of nested tables."""
    if not isinstance(value, dict):
        yield path
        return
    for key, child in value.items():
        yield from flatten_keys(child, f"{path} {key}")


def find_log_fields(tree: ast.Module) -> Iterator[str]:
    """Return the names of the fields that log calls pass."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            if node.func.attr in LOG_METHODS:
                yield from (each.arg for each in node.keywords if each.arg)


def find_texts(tree: ast.Module) -> Iterator[str]:
    """Return the literals of a module that are texts, without its docstrings."""
    docstrings = {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            text = node.value
            if isinstance(text, str) and " " in text and text == text.strip(" ,:;"):
                yield text


def find_read_texts() -> set[str]:
    """Return the texts of the programs and the handbook that read log lines."""
    texts: set[str] = set()
    for folder in READER_FOLDERS:
        for path in sorted((ROOT.parent / folder).rglob("*.py")):
            for node in ast.walk(parse(path)):
                if isinstance(node, ast.Constant) and isinstance(node.value, str):
                    texts.add(node.value)
    handbook = OPERATIONS_PATH.read_text().replace("\n", " ")
    texts.update(part.strip('"') for part in handbook.split("`")[1::2])
    texts.update(handbook.split('"')[1::2])
    return texts


def find_names(tree: ast.Module) -> Iterator[str]:
    """Return the literals of a module that hold no space: keys, paths, names.

    Names of attributes and of exports are left out.
    """
    passed_over: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and any(
            isinstance(target, ast.Name) and target.id in ("__all__", "__slots__")
            for target in node.targets
        ):
            passed_over.update(id(child) for child in ast.walk(node))
        for annotation in list_annotations(node):
            passed_over.update(id(child) for child in ast.walk(annotation))
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in passed_over:
            continue
        value = node.value
        text = value.decode("latin-1") if isinstance(value, bytes) else value
        if isinstance(text, str) and text and not any(map(str.isspace, text)):
            yield text


def list_annotations(node: ast.AST) -> Iterator[ast.AST]:
    """Return the type annotations that a node holds."""
    for field in ("annotation", "returns"):
        value = getattr(node, field, None)
        if value is not None:
            yield value


def main() -> None:
    """Write the list."""
    LIST_PATH.write_text(json.dumps(collect(), indent=1) + "\n")


if __name__ == "__main__":
    main()
