# Development commands. Each sets up .venv on a fresh machine first.
PYTHON ?= python3.11
LIBS := $(wildcard libs/*)
CODE := libs platform tests
VENV := .venv/installed
BIN := .venv/bin

.PHONY: demo test stack bench soak faults format lint types layers unit pins clean

$(VENV): requirements.txt $(wildcard libs/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(addprefix -e ,$(LIBS))
	touch $(VENV)

demo: $(VENV)
	@$(BIN)/python -m fireflyhitch_bench.demo

stack: $(VENV)
	@exec $(BIN)/python -m fireflyhitch_bench.stack

bench: $(VENV)
	@$(BIN)/python -m fireflyhitch_bench.$(NAME) $(OPTIONS)

soak: $(VENV)
	@$(BIN)/python -m fireflyhitch_bench.soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),60)

faults: $(VENV)
	@$(BIN)/python -m fireflyhitch_bench.fault_soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1) --seconds $(or $(SECONDS),20)

test: lint types layers unit

format: $(VENV)
	$(BIN)/ruff check --quiet --fix $(CODE)
	$(BIN)/ruff format --quiet $(CODE)

lint: $(VENV)
	$(BIN)/ruff format --check --quiet $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/flake8 $(CODE)

types: $(VENV)
	MYPYPATH=$(subst $(eval) ,:,$(LIBS) platform) $(BIN)/mypy -p fireflyhitch_users_platform $(foreach lib,$(notdir $(LIBS)),-p fireflyhitch_$(lib))

layers: $(VENV)
	PYTHONPATH=platform $(BIN)/lint-imports --no-logo

unit: $(VENV)
	$(BIN)/python -m pytest

pins:
	$(PYTHON) -m venv build/pins
	build/pins/bin/pip install --quiet -r requirements.in
	build/pins/bin/pip list --format=freeze --exclude pip > requirements.txt

clean:
	rm -rf .venv build run
