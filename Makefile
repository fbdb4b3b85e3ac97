PYTHON ?= python3.11
BIN := .venv/bin
export PYTHONPATH := .

.PHONY: setup demo test lint format bench kills pairs floods soak clean

setup: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/python -m demo.morning

test: setup lint
	$(BIN)/python -m tests.run

lint: setup
	$(BIN)/ruff format --check mulberrywalk demo tests
	$(BIN)/ruff check mulberrywalk demo tests
	$(BIN)/flake8 mulberrywalk demo tests
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format mulberrywalk demo tests
	$(BIN)/ruff check --fix mulberrywalk demo tests

bench: setup
	$(BIN)/python -m tests.bench

kills: setup
	$(BIN)/python -m tests.kills

pairs: setup
	$(BIN)/python -m tests.pairs

floods: setup
	$(BIN)/python -m tests.floods

soak: setup
	MULBERRYWALK_SOAK=1 $(BIN)/python -m pytest mulberrywalk/consensus

clean:
	rm -rf .venv run
