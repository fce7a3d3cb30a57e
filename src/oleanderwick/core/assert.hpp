#pragma once

#include <cstdio>
#include <cstdlib>

/** @brief Stops the process when an invariant of the program itself is broken; never used for input. */
#define OLEANDERWICK_ASSERT(condition, message)                                                                                                                \
    do {                                                                                                                                                       \
        if (!(condition)) {                                                                                                                                    \
            std::fprintf(stderr, "event=invariant_broken file=%s line=%d what=\"%s\"\n", __FILE__, __LINE__, message);                                         \
            std::abort();                                                                                                                                      \
        }                                                                                                                                                      \
    } while (false)
