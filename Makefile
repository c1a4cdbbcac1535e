# README commands: `make demo` and `make check`. Everything else is for developers.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: setup configure build check test lint example demo up bench bench-capacity soak fuzz mutants format

setup:
	tools/setup.sh

configure: setup
	cmake --preset release -B $(BUILD) >/dev/null

build: configure
	cmake --build $(BUILD) -j $(JOBS)

check: build lint test example

lint: configure
	tools/lint.sh $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4
	@echo "known red:"; tools/known_red.sh list

SEED ?= 1
RUNS ?= 1000
soak: build
	RC_PARAMS="seed=$(SEED) max_success=$(RUNS)" $(BUILD)/tests/matrix_test --gtest_filter='Schedule.*'

fuzz: build
	RC_PARAMS="seed=$(SEED) max_success=$(RUNS)" $(BUILD)/tests/proxy_test --gtest_filter='*Property*'
	RC_PARAMS="seed=$(SEED) max_success=$(RUNS)" $(BUILD)/tests/platform_test --gtest_filter='*Property*'
	RC_PARAMS="seed=$(SEED) max_success=$(RUNS)" $(BUILD)/tests/core_test --gtest_filter='TokenLedgerProperty*:RetryPolicyProperty*:RouteTableProperty*:ServerRegistryProperty*'

mutants: setup
	python3 tools/mutants.py

example: build
	tools/example.sh $(BUILD)

demo: build
	python3 tools/demo.py $(BUILD)

bench: build
	python3 tools/bench_path.py $(BUILD)
	$(BUILD)/tests/gate_bench

bench-capacity: build
	$(BUILD)/tests/capacity_bench

up: build
	python3 tools/up.py $(BUILD)

format:
	git ls-files -co --exclude-standard -- '*.cpp' '*.h' | grep -v '/generated/' | xargs clang-format -i
