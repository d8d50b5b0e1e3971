# Each target does its own set-up: a virtual environment in $(VENV) with the locked packages.
VENV ?= .venv-dev
BIN := $(VENV)/bin
# Test processes at once: a stated number, so that the load on the tests is the same everywhere.
WORKERS ?= 4

.PHONY: demo day test check clean

$(VENV)/ready: requirements-dev.txt pyproject.toml
	test -d $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/ready
	$(BIN)/otterglade demo

day: $(VENV)/ready
	$(BIN)/otterglade day bad --seconds 60

test: $(VENV)/ready
	$(BIN)/python -m pytest -q -n $(WORKERS) --maxschedchunk=1

check: $(VENV)/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports

clean:
	rm -rf $(VENV)
