# Helpers that every module's CMakeLists.txt uses.

function(anvildrum_flags target)
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror)
  if(ANVILDRUM_SANITIZE)
    target_compile_options(${target} PUBLIC -fsanitize=address,undefined -fno-sanitize-recover=all)
    target_link_options(${target} PUBLIC -fsanitize=address,undefined)
  endif()
endfunction()

# anvildrum_library(NAME SOURCES a.cc ... DEPS lib ...): a static library, linked as anvildrum_NAME.
function(anvildrum_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(anvildrum_${name} STATIC ${ARG_SOURCES})
  anvildrum_flags(anvildrum_${name})
  target_link_libraries(anvildrum_${name} PUBLIC ${ARG_DEPS})
endfunction()

# anvildrum_program(NAME SOURCES ... DEPS ...): an executable that is not a test.
function(anvildrum_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  anvildrum_flags(${name})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
endfunction()

# anvildrum_test(NAME SOURCES ... DEPS ...): the one Boost.Test program of a library. The first
# source defines BOOST_TEST_MODULE.
function(anvildrum_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  anvildrum_flags(${name}_test)
  target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name}_test PRIVATE anvildrum_${name} ${ARG_DEPS}
                                             Boost::unit_test_framework)
  add_test(NAME ${name}_test COMMAND ${name}_test)
endfunction()

# Adds the module's tests/, except in a build of the programs alone.
macro(anvildrum_tests)
  if(ANVILDRUM_TESTS)
    add_subdirectory(tests)
  endif()
endmacro()
