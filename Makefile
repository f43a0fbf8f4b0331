PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
DURATION ?= 60
SCENARIO ?=
PYTEST_ARGS ?=

.PHONY: install demo test check format bench soak

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python scripts/demo.py

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_ARGS)

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench $(SCENARIO)

soak: $(STAMP)
	$(BIN)/python -m bench.soak --seed $(SEED) --duration $(DURATION)
	$(BIN)/python -m bench.platform_soak --seed $(SEED) --duration $(DURATION)
