PYTHON ?= python3.11
VENV ?= .venv
DEPLOYMENT ?= kulhus
NAME ?=
FLAGS ?=

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,core adapters daemon client standins sidecar,$(CURDIR)/packages/$(p)) $(CURDIR)/platform)

SEEDS ?=

.PHONY: demo experiment soak test lint format docs matrix clean

demo: $(VENV)/installed
	$(VENV)/bin/python -m buckthorn_standins.demo --deployment=$(DEPLOYMENT)

experiment: $(VENV)/installed
	$(VENV)/bin/python -m buckthorn_standins.experiment $(NAME) $(FLAGS)

test: $(VENV)/installed
	$(VENV)/bin/python -m pytest

soak: $(VENV)/installed
	SOAK_SEEDS="$(SEEDS)" $(VENV)/bin/python -m pytest tests/soak

lint: $(VENV)/installed
	$(VENV)/bin/ruff format --check packages platform tests tools
	$(VENV)/bin/ruff check packages platform tests tools
	$(VENV)/bin/python tools/check_imports.py packages platform tests tools
	$(VENV)/bin/lint-imports
	$(VENV)/bin/mypy $(foreach p,core adapters daemon client standins sidecar,packages/$(p)/buckthorn_$(p)) platform/buckthorn_platform tools

format: $(VENV)/installed
	$(VENV)/bin/ruff format packages platform tests tools
	$(VENV)/bin/ruff check --fix packages platform tests tools
	$(VENV)/bin/ruff format packages platform tests tools

docs: $(VENV)/installed
	$(VENV)/bin/python tools/settings_page.py

$(VENV)/installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -r requirements-dev.txt
	touch $@

matrix: $(VENV)/installed
	$(VENV)/bin/python tools/matrix.py --write

clean:
	rm -rf $(VENV) out
