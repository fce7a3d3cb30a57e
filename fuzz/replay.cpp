#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <sodium.h>

#include "target.hpp"

namespace
{

constexpr std::uint64_t seed = 20261203;
constexpr int mutatedInputs = 3000;
constexpr int maxMutations = 8;
/** Deep enough to exhaust the stack of a reader that recurses once a level. */
constexpr std::size_t maxNesting = 200'000;
constexpr std::size_t usualNesting = 500;
constexpr std::array<const char *, 8>
    oddNumbers{"1e300", "-1e300", "1e999", "9223372036854775807", "-9223372036854775808", "18446744073709551615", "9007199254740993", "-1"};

std::vector<std::string> readCorpus(const std::string &folder)
{
    std::vector<std::filesystem::path> paths;
    for (const std::filesystem::directory_entry &entry : std::filesystem::directory_iterator{folder}) {
        paths.push_back(entry.path());
    }
    // Sorted by name, so that the seed gives the same inputs on every file system.
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> inputs;
    for (const std::filesystem::path &path : paths) {
        std::ifstream file{path, std::ios::binary};
        inputs.emplace_back(std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{});
    }
    return inputs;
}

void runTarget(const std::string &input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
}

/** Mutates a random input: overwrites, removes, duplicates or inserts bytes, or splices it with another input. */
std::string mutate(const std::vector<std::string> &corpus, std::mt19937_64 &random)
{
    std::string input = corpus[random() % corpus.size()];
    for (std::uint64_t left = 1 + random() % maxMutations; left > 0 && !input.empty(); --left) {
        const std::size_t at = random() % input.size();
        switch (random() % 7) {
        case 0:
            input[at] = static_cast<char>(random());
            break;
        case 1:
            input.erase(at, 1 + random() % 16);
            break;
        case 2:
            input.insert(at, input.substr(random() % input.size(), random() % 64));
            break;
        case 3:
            input.insert(at, std::string(random() % 200, "[{\"0"[random() % 4]));
            break;
        case 4:
            input.insert(at, std::string(1 + random() % (random() % 50 == 0 ? maxNesting : usualNesting), "[{"[random() % 2]));
            break;
        case 5:
            input.insert(at, oddNumbers[random() % oddNumbers.size()]);
            break;
        default:
            input = input.substr(0, at) + corpus[random() % corpus.size()].substr(0, random() % 400);
            break;
        }
    }
    return input;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2 || sodium_init() < 0) {
        std::cerr << "usage: replay CORPUS_FOLDER\n";
        return 2;
    }
    const std::vector<std::string> corpus = readCorpus(argv[1]);
    if (corpus.empty()) {
        std::cerr << argv[1] << ": the folder has no inputs\n";
        return 1;
    }
    for (const std::string &input : corpus) {
        runTarget(input);
    }
    std::mt19937_64 random{seed};
    for (int count = 0; count < mutatedInputs; ++count) {
        runTarget(mutate(corpus, random));
    }
    std::cout << corpus.size() << " corpus inputs and " << mutatedInputs << " mutated ones processed\n";
    return 0;
}
