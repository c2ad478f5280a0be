# Two commands set everything up: `make demo` runs the system, `make test` checks it.
VENV := .venv
BIN := $(VENV)/bin

$(VENV)/.installed: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $@

.PHONY: demo test lint types unit format build
demo: $(VENV)/.installed
	$(BIN)/python -m bramleyport demo

test: lint types unit

lint: $(VENV)/.installed
	$(BIN)/ruff format --check bramleyport tests
	$(BIN)/ruff check bramleyport tests

types: $(VENV)/.installed
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest -n auto --maxprocesses 8 --dist worksteal

format: $(VENV)/.installed
	$(BIN)/ruff check --fix bramleyport tests
	$(BIN)/ruff format bramleyport tests

build: $(VENV)/.installed
	$(BIN)/python -m bramleyport.packaging dist/bramleyport.pyz
