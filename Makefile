# Targets that build first install missing packages.
#
# make demo           builds and runs queries on stand-in backend servers
# make demo-platform  builds and runs a relaying host on the stand-in platform
# make test           builds and runs all tests
# make bench          builds and runs all benchmarks, checking their bounds
# make bench-quick    the same for some benchmarks, in under 50 s
# make capacity       measures costs at several sizes, writes docs/capacity/
# make format         formats the sources with clang-format
# make lint           checks format, log events, names and clang-tidy

BUILD := build
PACKAGES := $(shell grep -v '^\#' packages.txt)

.PHONY: all deps build demo demo-platform test bench bench-quick capacity format lint

all: build

# Installs missing packages only.
deps:
	@missing=""; for p in $(PACKAGES); do \
	  dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then echo "installing$$missing"; \
	  apt-get update -qq && apt-get install -y -qq --no-install-recommends $$missing \
	    >/dev/null; fi

build: deps
	@cmake -G Ninja -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD)

demo: build
	@tools/demo.sh $(BUILD)

demo-platform: build
	@tools/demo_platform.sh $(BUILD)

test: build
	@cd $(BUILD) && ctest --output-on-failure

bench: build
	@tools/bench.py --build $(BUILD)

bench-quick: build
	@tools/bench.py --build $(BUILD) --quick

capacity: build
	@tools/bench.py --build $(BUILD) --capacity

format:
	@git ls-files '*.cc' '*.h' | xargs clang-format -i

lint: build
	@git ls-files '*.cc' '*.h' | xargs clang-format --dry-run --Werror
	@git ls-files 'tray/*.cc' 'platform/*.cc' | grep -v -E 'testing/|bench/' | xargs -P 6 -n 2 \
	  clang-tidy -p $(BUILD) --quiet 2>/dev/null
	@tools/check_logs.sh
	@tools/check_names.sh
	@for f in tools/*.sh tools/bench.py; do test -x $$f || { echo "$$f is not executable"; exit 1; }; done
