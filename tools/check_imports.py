"""Checks that modules are imported, not names.

`from package import name` is allowed only where `name` is a module, or where
the package is `typing` or `collections.abc`.
"""

import ast
import importlib.util
import pathlib
import sys

_NAME_PACKAGES = frozenset({"typing", "collections.abc", "__future__"})


def _is_module(package: str, name: str) -> bool:
    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except (ImportError, ValueError):
        return False


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Returns one line of text for each imported name in a source file."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    found = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        if node.module in _NAME_PACKAGES:
            continue
        for alias in node.names:
            if not _is_module(node.module, alias.name):
                found.append(
                    f"{path}:{node.lineno}: {node.module}.{alias.name} is a"
                    " name; import its module"
                )
    return found


def main() -> int:
    """Checks the trees named on the command line."""
    # Tests import their shared fakes from the package `tests`.
    sys.path.insert(0, str(pathlib.Path.cwd()))
    found: list[str] = []
    for root in sys.argv[1:]:
        for path in sorted(pathlib.Path(root).rglob("*.py")):
            found.extend(find_name_imports(path))
    print("\n".join(found) or "imports: only modules are imported")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
