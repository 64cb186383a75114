VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
export PYTHONPATH = $(CURDIR)

.PHONY: demo test red lint generate bench bench-fairness bench-admission slopes soak binary clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed  ## Starts a small fleet, sends two calls as a caller would, stops it.
	$(BIN)/python -m emulator.demo
	$(BIN)/python -W ignore -m emulator.entry_demo

test: $(VENV)/.installed  ## Runs every feature; closes with `N passed, N failed`.
	$(BIN)/python tools/run_features.py

red: $(VENV)/.installed  ## Shows that each proof fails when its mechanism is left out.
	$(BIN)/python tools/show_red.py

lint: $(VENV)/.installed  ## Checks format, style, types and that generated code is current.
	$(BIN)/ruff format --check --quiet src emulator tools features bench soak
	$(BIN)/flake8 src emulator tools features bench soak
	$(BIN)/mypy
	$(BIN)/python tools/check_generated.py

generate: $(VENV)/.installed  ## Generates messages and settings from their schemas.
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python -W ignore tools/generate.py

bench: $(VENV)/.installed  ## Measures processor time, added latency and memory of the path.
	$(BIN)/python -m bench.path

bench-fairness: $(VENV)/.installed  ## Measures gap, utilisation and control traffic.
	$(BIN)/python -m bench.fairness

bench-admission: $(VENV)/.installed  ## Measures the time to the first token on a small engine.
	$(BIN)/python -m bench.admission

SEEDS ?= 50
FIRST ?= 1
JOBS ?= 2
SCALE ?= 1
soak: $(VENV)/.installed  ## Injects faults into real processes and checks the promises meanwhile.
	$(BIN)/python -m soak --seeds=$(SEEDS) --first=$(FIRST) --jobs=$(JOBS) --scale=$(SCALE)

slopes: $(VENV)/.installed  ## Measures the slopes that docs/CAPACITY.md uses.
	$(BIN)/python -m bench.slopes

binary: $(VENV)/.installed  ## Builds dist/fireflymux, one file that runs as one process.
	$(BIN)/python tools/build_binary.py

clean:
	rm -rf build dist
