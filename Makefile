# make builds lavenderlead. make demo and make check install what they need; they require only gcc,
# make and apt.

PACKAGES = libcivetweb-dev libinih-dev libmsgpack-dev liburcu-dev libargtable2-dev \
	libglib2.0-dev libjansson-dev libxxhash-dev libhttp-parser-dev zlib1g-dev pkg-config clang-format cppcheck curl

CC = gcc
PKGS = glib-2.0 jansson liburcu-bp
CFLAGS = -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -pthread -I.
LDLIBS = -lcivetweb -linih -lmsgpackc -largtable2 -lxxhash -lhttp_parser -lz -lm -ldl -lrt

# Evaluated on first use, after install-deps has installed the packages.
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS))

OUT = build
BIN = lavenderlead
DIRS = lib kernel wire node control platform
SRC = $(sort $(wildcard $(addsuffix /*.c,$(DIRS))))
CMD_SRC = $(sort $(wildcard cmd/*.c))
FAKE_SRC = $(sort $(wildcard test/fakes/*.c))
TEST_SRC = $(sort $(wildcard test/*_test.c))
PROG_SRC = $(sort $(wildcard test/programs/*.c) $(wildcard bench/*.c))
ALL_C = $(SRC) $(CMD_SRC) $(FAKE_SRC) $(TEST_SRC) $(PROG_SRC)
ALL_H = $(sort $(wildcard $(addsuffix /*.h,$(DIRS) cmd test test/fakes test/programs bench)))

OBJ = $(SRC:%.c=$(OUT)/%.o)
CMD_OBJ = $(CMD_SRC:%.c=$(OUT)/%.o)
FAKE_OBJ = $(FAKE_SRC:%.c=$(OUT)/%.o)
TESTS = $(TEST_SRC:%.c=$(OUT)/%)
PROGS = $(PROG_SRC:%.c=$(OUT)/%)

all: $(BIN)

$(BIN): $(OBJ) $(CMD_OBJ)
	$(CC) $(CFLAGS) -o $@ $^ $(PKG_LIBS) $(LDLIBS)

$(OUT)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(PKG_CFLAGS) -MMD -MP -c -o $@ $<

$(OUT)/liblavenderlead.a: $(OBJ)
	@rm -f $@
	ar rcs $@ $^

$(TESTS) $(PROGS): $(OUT)/%: $(OUT)/%.o $(FAKE_OBJ) $(OUT)/liblavenderlead.a
	$(CC) $(CFLAGS) -o $@ $(filter %.o,$^) $(OUT)/liblavenderlead.a $(PKG_LIBS) $(LDLIBS)

# The library leaves out cmd/; this test is of a part of it.
$(OUT)/test/client_test: $(OUT)/cmd/client.o

# lavenderlead with a disk and a clock that a test sets.
$(OUT)/test/programs/faulty: $(CMD_OBJ)
$(OUT)/test/programs/faulty: LDLIBS += -Wl,--wrap=disk_open,--wrap=clock_gettime

install-deps:
	tools/install $(PACKAGES)

tests: $(BIN) $(TESTS) $(PROGS)

format:
	clang-format -i $(ALL_C) $(ALL_H)

lint:
	tools/check-layers
	clang-format --dry-run -Werror $(ALL_C) $(ALL_H)
	cppcheck --quiet --error-exitcode=1 --std=c11 --enable=warning,performance,portability \
		--inline-suppr --suppress=missingIncludeSystem --library=gtk,posix --suppressions-list=tools/cppcheck.txt \
		-j 4 -I. $(SRC) $(CMD_SRC) $(FAKE_SRC) $(TEST_SRC) $(PROG_SRC)

# Builds SANITIZED with the address and undefined behaviour sanitizers, in a separate build directory.
SANITIZED = build-sanitize/lavenderlead
sanitized:
	$(MAKE) OUT=build-sanitize BIN=build-sanitize/lavenderlead \
		CFLAGS="$(CFLAGS) -O1 -fsanitize=address,undefined -fno-sanitize-recover=all" $(SANITIZED)

# Runs the unit tests with these sanitizers.
sanitize:
	$(MAKE) sanitized SANITIZED=tests
	tools/sanitize build-sanitize

check: install-deps
	tools/check

demo: install-deps
	$(MAKE) lavenderlead tests
	tools/demo

fault:
	$(MAKE) -s lavenderlead tests
	tools/fault $(RUN)

# Injects random faults: make soak SEEDS="1 2" LENGTH_S=20.
soak:
	$(MAKE) -s lavenderlead tests
	tools/soak

# Sends random input to separate processes: make fuzz SEEDS="1 2" LENGTH_S=600.
fuzz:
	$(MAKE) -s lavenderlead tests
	tools/fuzz

# Members of a control group are cut off, lose their disks and are replaced: make model MODEL_SEEDS=20000.
model: $(OUT)/test/voters_model_test
	MODEL_SEEDS=$(or $(MODEL_SEEDS),20000) $< -p /voters-model/any-order

# Bounded to less than two minutes.
bench:
	$(MAKE) -s lavenderlead tests
	-$(OUT)/bench/policy_bench
	ROUNDS=4000 timeout 100 bench/path_bench.sh

clean:
	rm -rf $(OUT) build-sanitize lavenderlead

.PHONY: all install-deps tests format lint sanitized sanitize check demo fault soak fuzz model bench clean
.SECONDARY:
-include $(shell find $(OUT) -name '*.d' 2>/dev/null)
