VENV ?= .venv
PYTHON ?= python3
LIBS := core httpio routing balance shards config gateway cli standins model soak
SHIPPED := core httpio routing balance shards config gateway cli
SPACE := $(subst ,, )
SOURCES := $(foreach lib,$(LIBS),libs/$(lib)/src) platform/src
# These stand-ins use the platform's protocol, so they are kept next to its adapter.
STANDINS := $(CURDIR)/platform/tests
SEEDS ?= $(shell sed -n 's/^\([0-9][0-9]*\) .*/\1/p' libs/soak/regressions.txt)
SHORT_SEEDS := 7 18
export PYTHONPATH := $(subst $(SPACE),:,$(foreach source,$(SOURCES),$(CURDIR)/$(source)))
export PYTHONHASHSEED := 0

.PHONY: install format check lint types test model demo benchmark soak soak-short soak-mutants build all

all: check test

install: $(VENV)/.installed

$(VENV)/.installed: requirements/run.txt requirements/dev.txt deploy/requirements.txt
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
	$(VENV)/bin/mypy $(SOURCES)

test: install
	$(VENV)/bin/python -m pytest

model: install
	$(VENV)/bin/python -m fuchsiawell.model

demo: install
	PYTHONPATH=$(PYTHONPATH):$(STANDINS) $(VENV)/bin/python -m fuchsiawell.soak.demo

# Measures this checkout, and in turn with it the one in BASE if given; WRITE=--write makes the
# figures the new baseline. Both use the stand-ins of this checkout. Other work on the machine
# changes times, but not the calls per request.
ROUNDS ?= 1 2 3
BASELINE := libs/soak/benchmark-baseline.json
BENCHMARK := $(VENV)/bin/python -P $(CURDIR)/libs/soak/src/fuchsiawell/soak/benchmark.py
measured_path = $(subst $(SPACE),:,$(CURDIR)/libs/standins/src $(STANDINS) $(strip \
	$(foreach lib,$(SHIPPED),$(1)/libs/$(lib)/src)) $(1)/platform/src)
benchmark: install
	@mkdir -p build && rm -f build/benchmark.json build/benchmark-base.json
	@here() { PYTHONPATH=$(call measured_path,$(CURDIR)) $(BENCHMARK) >> build/benchmark.json; }; \
	base() { [ -z "$(BASE)" ] || PYTHONPATH=$(call measured_path,$(BASE)) $(BENCHMARK) \
		>> build/benchmark-base.json; }; \
	for round in $(ROUNDS); do here && base && base && here || exit 1; done
	@$(VENV)/bin/python -m fuchsiawell.soak.benchmark_report build/benchmark.json $(BASELINE) \
		$(if $(BASE),--base build/benchmark-base.json) $(WRITE)

soak: install
	PYTHONPATH=$(PYTHONPATH):$(STANDINS) $(VENV)/bin/python -m fuchsiawell.soak $(SEEDS)

# Part of CI: seeds that once failed.
soak-short:
	$(MAKE) soak SEEDS="$(SHORT_SEEDS)"

# One of the seeds must report a violation by each mutant; a soak that fails in another way does not
# count.
MUTANTS ?= repeat-all lie pass-strays-on move-early die-at-stop grant-once ignore-limits ignore-rests \
	ignore-leaving leave-zone-out never-relay keep-granting ignore-era ask-nobody
soak-mutants: install
	@mkdir -p build; for mutant in $(MUTANTS); do \
		caught=; \
		for seed in 1 2 3 4 5 6; do \
			PYTHONPATH=$(PYTHONPATH):$(STANDINS) $(VENV)/bin/python -m fuchsiawell.soak $$seed \
				--faults 25 --mutant "libs/soak/tests/mutants.py $$mutant" > build/mutant.log 2>&1; \
			grep -q '"broken":\["' build/mutant.log && { caught=$$seed; break; }; \
		done; \
		grep -o '"broken":\["[^"]*"' build/mutant.log || true; \
		echo "$$mutant: caught by seed $${caught:-none}"; \
		[ -n "$$caught" ] || exit 1; \
	done

# Packed extension modules work only with the Python version that packed them, so python3 on the
# target must be the same version.
build: install
	rm -rf build/site build/unpacked && mkdir -p build/site dist
	$(VENV)/bin/python tools/collect_packages.py requirements/run.txt build/site
	cp -R $(foreach lib,$(SHIPPED),libs/$(lib)/src/fuchsiawell) platform/src/fuchsiawell build/site
	find build/site -name __pycache__ -prune -exec rm -rf {} +
	$(VENV)/bin/shiv --site-packages build/site --entry-point fuchsiawell.cli.run:main \
		--reproducible --python "/usr/bin/env python3" \
		--output-file dist/fuchsiawell
	SHIV_ROOT=build/unpacked env -u PYTHONPATH dist/fuchsiawell --help > /dev/null
	SHIV_ROOT=build/unpacked env -u PYTHONPATH SHIV_FORCE_EXTRACT=1 \
		$(VENV)/bin/python tools/check_program.py dist/fuchsiawell questionnaire > /dev/null
