# Sardinestream's front door. `make demo` and `make check` each set up everything they need.

BUILD ?= build
JOBS ?= $(shell nproc)
SETUP_STAMP := $(BUILD)/.packages

.PHONY: help setup build demo check format format-check lint test matrix soak bench generate clean

help:
	@echo "make demo    install, build and run the whole system once, with its answers printed"
	@echo "make check   install, build, formatter, linter and all tests (what CI runs)"
	@echo "make matrix  every fault at every step; last line: matrix cells=N held=N red=K"
	@echo "make soak    the real programs under drawn faults, fresh seeds (SOAK_SEED=N for a series of your own)"
	@echo "make bench   load scenarios, policies side by side (BENCH_SCENARIO=name for one)"

setup: $(SETUP_STAMP)

$(SETUP_STAMP): tools/packages.txt tools/setup
	@mkdir -p $(BUILD)
	@tools/setup
	@touch $@

build: setup
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD)/configure.log || { cat $(BUILD)/configure.log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v _generated.h | xargs clang-format -i

format-check: setup
	@git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v _generated.h | xargs clang-format --dry-run --Werror
	@echo "formatter: clean"

lint: build
	@tools/lint $(BUILD) $(JOBS)

test: build
	@tools/run-tests $(BUILD) $(JOBS)

check: format-check lint test

demo: build
	@SARDINE_BIN_DIR=$(BUILD)/bin $(BUILD)/bin/sardine_demo

bench: build
	@SARDINE_BIN_DIR=$(abspath $(BUILD))/bin $(BUILD)/bin/load_bench

MATRIX_JOBS ?= 3

matrix: build
	@SARDINE_BIN_DIR=$(BUILD)/bin $(BUILD)/bin/fault_matrix --jobs=$(MATRIX_JOBS)

# 0 takes the first seed from the clock.
SOAK_SEED ?= 0
SOAK_SEEDS ?= 20

soak: build
	@SARDINE_BIN_DIR=$(BUILD)/bin $(BUILD)/bin/soak --seed=$(SOAK_SEED) --seeds=$(SOAK_SEEDS)

generate:
	@tools/generate

clean:
	@rm -rf $(BUILD)
