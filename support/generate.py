#!/usr/bin/python3
"""Generates message and settings types and their codecs from schema/*.toml.

Usage: support/generate.py [--check]
  --check  Write nothing; list files that are out of date and exit with 1 if there are any.
"""

import pathlib
import re
import subprocess
import sys
import tomllib

import jinja2

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCALARS = {
    "string": "std::string",
    "bytes": "std::string",
    "bool": "bool",
    "u16": "std::uint16_t",
    "u32": "std::uint32_t",
    "u64": "std::uint64_t",
    "i64": "std::int64_t",
    "f64": "double",
    "duration": "Duration",
    "size": "std::uint64_t",
    "address": "std::string",
}
WRAPPERS = {"list": "std::vector", "map": "std::map", "optional": "std::optional"}


def cpp_type(name):
    """Returns the C++ type of a schema type such as list<u64>."""
    match = re.fullmatch(r"(\w+)<(.+)>", name)
    if not match:
        return SCALARS.get(name, name)
    wrapper, inner = match.groups()
    arguments = ", ".join(cpp_type(part.strip()) for part in inner.split(",", 1 if wrapper == "map" else 0))
    return f"{WRAPPERS[wrapper]}<{arguments}>"


def initializer(field, enums):
    """Returns the default member initializer of a field."""
    if "default" in field:
        value, kind = field["default"], field["type"]
        if kind == "duration":
            return f" = Duration({duration_us(value)})"
        if kind == "size":
            return f" = {size_bytes(value)}"
        if isinstance(value, bool):
            return f" = {str(value).lower()}"
        if kind in ("string", "address", "bytes"):
            return f' = "{value}"'
        if kind in enums:
            return f" = {kind}::{value}"
        return f" = {value}"
    if field["type"] in enums:
        return f" = {field['type']}::{enums[field['type']]}"
    if field["type"] == "bool":
        return " = false"
    if field["type"] in ("u16", "u32", "u64", "i64", "f64", "size"):
        return " = 0"
    if field["type"] == "duration":
        return " = Duration(0)"
    return ""


def duration_us(text):
    """Returns a duration such as 500ms in microseconds."""
    number, unit = re.fullmatch(r"(\d+)(us|ms|s|min|h|d)", text).groups()
    return int(number) * {"us": 1, "ms": 10**3, "s": 10**6, "min": 60 * 10**6, "h": 3600 * 10**6, "d": 86400 * 10**6}[unit]


def size_bytes(text):
    """Returns a size such as 16MiB in bytes."""
    number, unit = re.fullmatch(r"(\d+)(B|KiB|MiB|GiB)", text).groups()
    return int(number) * {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}[unit]


def limit(field, key):
    """Returns a bound of a field as a C++ expression in the base unit of its type."""
    if key not in field:
        return None
    value = field[key]
    if field["type"] == "duration":
        return f"Duration({duration_us(value)})"
    if field["type"] == "size":
        return str(size_bytes(value))
    return str(value)


def snake(name):
    """Returns a camelCase name in snake_case."""
    return re.sub(r"([A-Z])", lambda match: "_" + match.group(1).lower(), name)


def format_text(text, path):
    """Returns C++ text formatted with clang-format."""
    command = ["clang-format", f"--assume-filename={path}"]
    return subprocess.run(command, input=text, capture_output=True, text=True, check=True, cwd=ROOT).stdout


def main():
    check = "--check" in sys.argv[1:]
    schemas = {path.stem: tomllib.loads(path.read_text()) for path in sorted((ROOT / "schema").glob("*.toml"))}
    enums = {e["name"]: e["values"][0]["name"] for s in schemas.values() for e in s.get("enum", [])}
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(ROOT / "support" / "templates"), trim_blocks=True, lstrip_blocks=True)
    environment.filters.update(cpp_type=cpp_type, snake=snake)
    environment.globals.update(initializer=lambda f: initializer(f, enums), limit=limit, enums=enums)
    stale = []
    for stem, schema in schemas.items():
        has_settings = any(s.get("settings") for s in schema.get("struct", []))
        outputs = {
            "message.h.j2": f"include/goldcrestwood/{stem}.h",
            "msgpack.h.j2": f"src/generated/{stem}_msgpack.h",
            "message.cc.j2": f"src/generated/{stem}.cc",
            "json.cc.j2": f"src/generated/{stem}_json.cc",
        }
        if has_settings:
            outputs["settings.h.j2"] = f"src/daemon/{stem}_reader.h"
            outputs["settings.cc.j2"] = f"src/daemon/{stem}_reader.cc"
        for template, name in outputs.items():
            text = environment.get_template(template).render(
                stem=stem, schema=schema, structs=schema.get("struct", []), enum_list=schema.get("enum", []))
            text = format_text(text, name)
            path = ROOT / name
            if path.exists() and path.read_text() == text:
                continue
            stale.append(name)
            if not check:
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_text(text)
    for name in stale:
        print(("out of date: " if check else "written: ") + name)
    return 1 if check and stale else 0


if __name__ == "__main__":
    sys.exit(main())
