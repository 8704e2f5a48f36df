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
function(porttiller_test)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
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
  add_test(NAME ${ARG_NAME} COMMAND ${target})
  # A fixed seed makes property-based tests repeatable. For other seeds or longer
  # runs start the program with RC_PARAMS="seed=... max_success=...".
  set_tests_properties(${ARG_NAME} PROPERTIES ENVIRONMENT
                       "RC_PARAMS=seed=20261202 max_success=300" TIMEOUT 300)
endfunction()
