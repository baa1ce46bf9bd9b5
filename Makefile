VENV ?= .venv
PYTHON ?= python3
LIBS := core platform config ownership once load transport daemon cli standins model bench
SPACE := $(subst ,, )
export PYTHONPATH := $(subst $(SPACE),:,$(foreach lib,$(LIBS),$(CURDIR)/libs/$(lib)/src))
export PYTHONHASHSEED := 0

.PHONY: install format check lint types test model bench demo build all

all: check test

install: $(VENV)/.installed

$(VENV)/.installed: requirements/run.txt requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements/dev.txt
	touch $@

format: install
	$(VENV)/bin/ruff check --fix --quiet .
	$(VENV)/bin/black --quiet .

check: lint types

lint: install
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/ruff check .

types: install
	$(VENV)/bin/mypy $(foreach lib,$(LIBS),libs/$(lib)/src)

test: install
	$(VENV)/bin/python -m pytest

model: install
	$(VENV)/bin/python -m fuchsiawell.model

bench: install
	$(VENV)/bin/python -m fuchsiawell.bench

demo: install
	$(VENV)/bin/python -m fuchsiawell.standins.demo

build: install
	mkdir -p dist
	$(VENV)/bin/shiv --quiet -c fuchsiawell -o dist/fuchsiawell -r requirements/run.txt $(foreach lib,$(LIBS),./libs/$(lib))
