#pragma once

#include <cstddef>
#include <cstdint>

/**
 * @brief Runs the fuzzed code on one input; has to return for every input.
 * @param data Bytes of the input.
 * @param size Number of bytes.
 * @return 0, as libFuzzer requires.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size); // NOLINT(readability-identifier-naming): libFuzzer's name
