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
TOOL_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/tool/*.c))
FAKE_TARGET_OBJ = $(BUILD)/tests/fakes/fake_target.o
RUNNER_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/runner/*.c))
PROGRAMS = ragwortd ragwortctl fake_target scenario

all: $(PROGRAMS:%=$(BUILD)/%)

$(BUILD)/libragwort.a: $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/ragwortd: $(BUILD)/src/daemon/main.o $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/ragwortctl: $(TOOL_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/fake_target: $(FAKE_TARGET_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/scenario: $(RUNNER_OBJ) $(BUILD)/libragwort.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

clean:
	rm -rf $(BUILD)

.PHONY: all clean
