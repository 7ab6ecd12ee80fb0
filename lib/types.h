/* Short names of the fixed-width integer types, as in the Linux kernel. */
#ifndef TYPES_H
#define TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef uint8_t u8;
typedef uint16_t u16;
typedef uint32_t u32;
typedef uint64_t u64;
typedef int64_t i64;

/* Thousandths of a unit. */
#define MILLI 1000

#define US_PER_MS 1000ULL
#define US_PER_S 1000000ULL

#endif
