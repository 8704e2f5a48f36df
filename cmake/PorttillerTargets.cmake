# Functions that define the targets: one library and one test program for each
# package.

set(PORTTILLER_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror
    -Wno-missing-field-initializers)
# GCC 12 reports overlapping copies in std::string's operator+ at -O3, where
# there are none (GCC bug 105651, fixed in 13).
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  list(APPEND PORTTILLER_WARNINGS $<$<CONFIG:Release>:-Wno-restrict>)
endif()

# porttiller_package(NAME core SOURCES a.cpp DEPENDS x y)
function(porttiller_package)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  set(target porttiller_${ARG_NAME})
  add_library(${target} STATIC ${ARG_SOURCES})
  target_include_directories(${target} PUBLIC include PRIVATE src)
  target_compile_options(${target} PRIVATE ${PORTTILLER_WARNINGS})
  target_link_libraries(${target} PUBLIC tl::expected ${ARG_DEPENDS})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*Test.cpp)
  if(tests AND PORTTILLER_TESTS)
    porttiller_test(NAME ${ARG_NAME} SOURCES ${tests} DEPENDS ${target})
  endif()
endfunction()

# porttiller_test(NAME core SOURCES FooTest.cpp DEPENDS porttiller_core)
# PARTS 3 splits the test cases into the tests core_1, core_2 and core_3, which
# can run side by side. They share RANGES ranges of PORTS ports each, without gaps
# from FIRST_PORT on: the environment variable PORTTILLER_TEST_PORTS has the first
# port of a part's range, and parts with the same range run one after another.
# The test core_alone has the cases of the file ALONE and runs beside no other test.
# TIMEOUT is in seconds, for each test. Without times of earlier runs the last
# parts start first: sort the longest cases to the end.
function(porttiller_test)
  cmake_parse_arguments(ARG "" "NAME;PARTS;RANGES;FIRST_PORT;PORTS;ALONE;TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  set(target ${ARG_NAME}_tests)
  add_executable(${target} ${ARG_SOURCES}
                           ${PROJECT_SOURCE_DIR}/testing/TestMain.cpp)
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/testing
                             src)
  target_include_directories(${target} SYSTEM PRIVATE ${DOCTEST_DIR}
                             ${RAPIDCHECK_DIR})
  target_compile_options(${target} PRIVATE ${PORTTILLER_WARNINGS})
  target_link_libraries(${target} PRIVATE ${ARG_DEPENDS} ${RAPIDCHECK_LIB}
                                          Threads::Threads)
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  # A fixed seed makes property-based tests repeatable. For other seeds or longer
  # runs start the program with RC_PARAMS="seed=... max_success=...".
  set(environment "RC_PARAMS=seed=20261202 max_success=300")
  if(NOT ARG_PARTS)
    add_test(NAME ${ARG_NAME} COMMAND ${target})
    set_tests_properties(${ARG_NAME} PROPERTIES ENVIRONMENT "${environment}"
                                                TIMEOUT ${ARG_TIMEOUT})
    return()
  endif()
  add_test(NAME ${ARG_NAME}_alone COMMAND ${target} --source-file=*${ARG_ALONE})
  set_tests_properties(
    ${ARG_NAME}_alone
    PROPERTIES ENVIRONMENT "${environment};PORTTILLER_TEST_PORTS=${ARG_FIRST_PORT}"
               RUN_SERIAL ON
               TIMEOUT ${ARG_TIMEOUT})
  set(cases 0)
  foreach(source ${ARG_SOURCES})
    if(source MATCHES "${ARG_ALONE}$")
      continue()
    endif()
    file(STRINGS ${source} found REGEX "^TEST_CASE")
    list(LENGTH found count)
    math(EXPR cases "${cases} + ${count}")
  endforeach()
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${ARG_SOURCES})
  foreach(part RANGE 1 ${ARG_PARTS})
    math(EXPR first "${cases} * (${part} - 1) / ${ARG_PARTS} + 1")
    math(EXPR last "${cases} * ${part} / ${ARG_PARTS}")
    set(range --source-file-exclude=*${ARG_ALONE} --first=${first})
    if(part LESS ARG_PARTS) # the last part has no end, so no case is left out
      list(APPEND range --last=${last})
    endif()
    math(EXPR port "${ARG_FIRST_PORT} + ${part} % ${ARG_RANGES} * ${ARG_PORTS}")
    add_test(NAME ${ARG_NAME}_${part} COMMAND ${target} ${range})
    set_tests_properties(
      ${ARG_NAME}_${part}
      PROPERTIES ENVIRONMENT "${environment};PORTTILLER_TEST_PORTS=${port}"
                 RESOURCE_LOCK test_ports_${port}
                 COST ${part}
                 TIMEOUT ${ARG_TIMEOUT})
  endforeach()
endfunction()
