PYTHON ?= python3
BIN := .venv/bin
READY := .venv/.ready

.PHONY: demo test lint

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m tests.demo

test: $(READY)
	$(BIN)/python -m tests.run

lint: $(READY)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/lint-imports

SEED ?= 1
SECONDS ?= 60

.PHONY: chaos

chaos: $(READY)
	$(BIN)/python -m tests.chaos $(SEED) $(SECONDS)

SEEDS ?= 1

.PHONY: soak

soak: $(READY)
	$(BIN)/python -m tests.soak $(SEED) $(SEEDS) $(SECONDS)

.PHONY: slopes

slopes: $(READY)
	$(BIN)/python -m tests.slopes
