#pragma once

#include <cstddef>
#include <cstdint>

/**
 * @brief Feeds one input to what is fuzzed; has to return whatever the input is.
 * @param data Bytes of the input.
 * @param size Their number.
 * @return 0.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size); // NOLINT(readability-identifier-naming): libFuzzer's name
