#pragma once

#include <cstdio>
#include <cstdlib>

/**
 * @brief Aborts the process if an internal invariant is false; not for the validation of input.
 * @param condition Invariant to check.
 * @param message Invariant in words, for the line on standard error.
 */
#define OLEANDERWICK_ASSERT(condition, message)                                                                                                                \
    do {                                                                                                                                                       \
        if (!(condition)) {                                                                                                                                    \
            std::fprintf(stderr, "event=invariant_broken file=%s line=%d what=\"%s\"\n", __FILE__, __LINE__, message);                                         \
            std::abort();                                                                                                                                      \
        }                                                                                                                                                      \
    } while (false)
