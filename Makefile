BUILD ?= build
JOBS ?= $(shell nproc)
LAUNCHER = $(if $(shell command -v ccache),-DCMAKE_CXX_COMPILER_LAUNCHER=ccache,)

.PHONY: build test lint format bench experiment sanitize fuzz quickstart install clean

install:
	scripts/install_packages.sh

build: install
	cmake -S . -B $(BUILD) -G Ninja $(LAUNCHER) > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	scripts/test.sh $(BUILD) $(JOBS)

quickstart: build
	$(BUILD)/programs/quickstart --bin $(BUILD)

lint: build
	scripts/lint.sh $(BUILD)

format:
	scripts/format.sh

bench: build
	scripts/bench.sh $(BUILD)

experiment: build
	$(BUILD)/programs/routing_experiment

sanitize: install
	scripts/sanitize.sh

fuzz: install
	scripts/fuzz.sh

clean:
	rm -rf $(BUILD)
