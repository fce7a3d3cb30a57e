option(OLEANDERWICK_BUILD_TESTS "Build the test programs" ON)
option(OLEANDERWICK_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

add_library(oleanderwick_options INTERFACE)
target_compile_options(oleanderwick_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor)
# With sanitizers GCC 12 reports warnings in standard library headers, so only builds without them use -Werror.
if(NOT OLEANDERWICK_SANITIZE)
    target_compile_options(oleanderwick_options INTERFACE -Werror)
endif()
if(OLEANDERWICK_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()
