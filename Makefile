# Creates its own environment in .venv; requires only Python 3.11.
PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup demo play test check bench slopes rush lab tradeoff soak

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/python -m standins.demo

play: $(STAMP)
	$(VENV)/bin/python -m standins.playground

test: $(STAMP)
	$(VENV)/bin/python -m tests.run

check: $(STAMP)
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/ruff check --quiet .
	$(VENV)/bin/mypy --no-error-summary endivedrift standins lab tests

bench: $(STAMP)
	$(VENV)/bin/python -m lab.bench

slopes: $(STAMP)
	$(VENV)/bin/python -m lab.slopes

rush: $(STAMP)
	$(VENV)/bin/python -m lab.rush

lab: $(STAMP)
	$(VENV)/bin/python -m lab.policy

tradeoff: $(STAMP)
	$(VENV)/bin/python -m lab.tradeoff

SOAK_SEEDS ?= 1 10
SOAK_SECONDS ?= 12

soak: $(STAMP)
	$(VENV)/bin/python -m tests.soak --seeds $(SOAK_SEEDS) --seconds $(SOAK_SECONDS)
