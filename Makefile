# Build, check, demo and bench of ragwortline.  `make help` lists the goals.
CC ?= gcc
BUILD ?= build
CPPFLAGS = -D_GNU_SOURCE -Isrc -I.
CFLAGS ?= -O2 -g
CFLAGS += -std=c11 -Wall -Wextra -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Werror -Wno-format-truncation -Wno-restrict $(SANITIZE)
LDFLAGS += $(SANITIZE)
LDLIBS = -levhtp -levent -levent_openssl -lssl -lcrypto -lmsgpackc -ljansson \
	-llog4c -lxxhash -lm

LIB_DIRS = base coord store net filter controller
LIB_SRC = $(foreach d,$(LIB_DIRS),$(wildcard src/$(d)/*.c))
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
PLATFORM_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out platform/main.c,$(wildcard platform/*.c)))
TOOL_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/tool/*.c))
FAKE_TARGET_OBJ = $(BUILD)/tests/fakes/fake_target.o
RUNNER_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/runner/*.c))
UNIT_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/unit/*.c))
BENCH_PROGRAMS = load bare_relay
REPLAY_OBJ = $(BUILD)/bench/replay_model.o
PROGRAMS = ragwortd ragwort-node node_soak full_disks ragwortctl fake_target scenario unit replay \
	$(BENCH_PROGRAMS)

all: $(PROGRAMS:%=$(BUILD)/%)

$(BUILD)/libragwort.a: $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/ragwortd: $(BUILD)/src/daemon/main.o $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/ragwort-node: $(BUILD)/platform/main.o $(PLATFORM_OBJ) \
		$(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/ragwortctl: $(TOOL_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/fake_target: $(FAKE_TARGET_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/scenario: $(RUNNER_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/replay: $(BUILD)/bench/replay.o $(REPLAY_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/unit: $(UNIT_OBJ) $(PLATFORM_OBJ) $(REPLAY_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ -lcunit $(LDLIBS)

NODE_SOAK_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/soak/*.c))

$(BUILD)/node_soak: $(NODE_SOAK_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/full_disks: $(BUILD)/tests/disks/full_disks.o $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BENCH_PROGRAMS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/bench/%.o \
		$(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

# Each scenario is run once per seed, which determines its random pauses and
# keys; LANES scenarios are run at a time.
SEEDS ?= 1 2 3
LANES ?= 5

setup:
	@sh tools/setup.sh

# Installs the packages first, then builds and tests in a second make, so that
# the rules for files need not depend on setup.
check: setup
	@$(MAKE) --no-print-directory -j$$(nproc) all check-programs

check-programs: all
	@$(BUILD)/unit
	@SEEDS="$(SEEDS)" LANES=$(LANES) sh tests/run_scenarios.sh $(BUILD)
	@sh tests/check_examples.sh $(BUILD)
	@python3 tests/test_tools.py
	@python3 tests/spoilt_bytes.py $(BUILD) $(SPOILT_ROUNDS) $(SPOILT_SEEDS)
	@python3 tests/client_limits.py $(BUILD)
	@SOAK_OPTIONS="$(SOAK_OPTIONS)" \
	  sh tests/node_soak.sh $(BUILD) $(SOAK_SECONDS) $(SOAK_SEEDS)
	@SOAK_OPTIONS="--profile restarts" \
	  sh tests/node_soak.sh $(BUILD) $(RESTART_SECONDS) $(RESTART_SEEDS)
	@sh tests/full_disks.sh $(BUILD) $(DISK_SECONDS) $(DISK_SEEDS)
	@python3 tests/evacuation.py $(BUILD)

demo: setup
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@$(BUILD)/scenario --echo examples/demo.scn

SEED ?= 1
MINUTES ?= 1

# node-soak: the duration of the faults, the seeds and the program's options.
SOAK_SECONDS ?= 8
SOAK_SEEDS ?= 2714
SOAK_OPTIONS ?=

# The soak in which idle targets restart behind cuts.
RESTART_SECONDS ?= 16
RESTART_SEEDS ?= 3001 3006

node-soak: all
	@SOAK_OPTIONS="$(SOAK_OPTIONS)" \
	  sh tests/node_soak.sh $(BUILD) $(SOAK_SECONDS) $(SOAK_SEEDS)

# full-disks: the disks of keeper processes are full in turn.
DISK_SECONDS ?= 9
DISK_SEEDS ?= 109

full-disks: all
	@sh tests/full_disks.sh $(BUILD) $(DISK_SECONDS) $(DISK_SEEDS)

# spoilt: spoilt bytes at every port; the requests of a part, and the seeds.
SPOILT_ROUNDS ?= 300
SPOILT_SEEDS ?= 1

spoilt: all
	@python3 tests/spoilt_bytes.py $(BUILD) $(SPOILT_ROUNDS) $(SPOILT_SEEDS)

soak: all
	@sh tests/soak.sh $(BUILD) $(SEED) $(MINUTES)

prove: all
	@sh tests/prove.sh $(BUILD)

bench: all
	@QUICK=$(QUICK) sh bench/run.sh $(BUILD)

capacity: all
	@sh bench/capacity.sh $(BUILD)

lint:
	@sh tools/lint.sh

format:
	clang-format-14 -i $$(git ls-files '*.c' '*.h')

clean:
	rm -rf $(BUILD)

help:
	@echo "all       build the programs"
	@echo "demo      start a system of 9 VMs and 12 targets and use it"
	@echo "check     set up, build, run unit tests and scenarios"
	@echo "full-disks keepers' disks full in turn: DISK_SECONDS=s DISK_SEEDS='1 2'"
	@echo "node-soak faults against ragwort-node: SOAK_SECONDS=s SOAK_SEEDS='1 2'"
	@echo "          SOAK_OPTIONS='--profile large' or restarts (node_soak --help)"
	@echo "spoilt    spoilt bytes at every port: SPOILT_ROUNDS=n SPOILT_SEEDS='1 2'"
	@echo "prove     show that each scenario fails with its mechanism off"
	@echo "soak      random faults: SEED=n MINUTES=m"
	@echo "bench     measure; QUICK=1 in under 50 s"
	@echo "replay    load patterns in the model: build/replay --help"
	@echo "capacity  measure the slopes of docs/CAPACITY.md again"
	@echo "lint      formatter and linter"

.PHONY: all soak node-soak full-disks spoilt prove bench capacity setup check check-programs demo lint format clean help
