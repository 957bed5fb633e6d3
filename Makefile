# Thin front over CMake and Ninja.
BUILD ?= build
SANITIZE ?=
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?=
export CCACHE_NOHASHDIR = 1
export CCACHE_BASEDIR = $(abspath $(CURDIR))

.PHONY: all setup build test demo lint format bench capacity clean

all: build

setup:
	@scripts/install-packages.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DWASABIHOOK_SANITIZE=$(SANITIZE) $(CMAKE_FLAGS) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@scripts/run-tests.sh $(BUILD)

demo: build
	@scripts/demo.sh $(BUILD)

lint: setup
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) >/dev/null
	@scripts/lint.sh $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format -i

bench: build
	@scripts/bench.sh $(BUILD)

capacity: build
	@scripts/capacity.sh $(BUILD)

clean:
	@rm -rf $(BUILD)
