# Each target works on a fresh machine with Python 3.11 or newer and its venv module.
VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: install demo test bench prove soak regression

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	@python3 -c 'import sys, venv; assert sys.version_info >= (3, 11)' || \
		{ echo "needs Python 3.11 or newer with the venv module (Debian: python3-venv)"; exit 1; }
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -e '.[test]'
	@touch $@

demo: install
	$(PYTHON) -m lentilcourse.lab.demo

test: install
	$(PYTHON) tools/run_checks.py

prove: install
	$(PYTHON) tools/prove.py

soak: install
	$(PYTHON) -m lentilcourse.lab.soak --first $(or $(FIRST),1) --last $(or $(LAST),50)

bench: install
	$(PYTHON) -m lentilcourse.lab.bench

regression: install
	$(PYTHON) -m lentilcourse.lab.regression --bench $(BENCH) --sites $(SITES)
