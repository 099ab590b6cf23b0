# Every target installs its dependencies first; only Python 3.11 is required.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint format docs fuzz soak bench

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt 2>/dev/null
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e . 2>/dev/null
	touch $@

demo: setup
	$(BIN)/trefoilwind-demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

docs: setup
	$(BIN)/python -m trefoilwind.admin.reference docs

fuzz: setup
	TREFOILWIND_FUZZ_EXAMPLES=10000 $(BIN)/python -m pytest tests -k "fuzz"

soak: setup
	$(BIN)/python -m tests.test_soak.run --seeds 20 --seconds 20 --jobs 2
	$(BIN)/python -m tests.test_soak.run --planned --seeds 20 --seconds 20 --jobs 2
