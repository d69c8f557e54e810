# Functions that declare the packages, programs and tests of the workspace.
# Sources are globbed, so that a new file needs no change here.
# Member names have no prefix or suffix, so a constructor parameter may have the
# same name as a member.
set(CAROBRILL_WARNINGS -Wall -Wextra -Wshadow=local -Wnon-virtual-dtor)

# carobrill_package(NAME [FOLDER path] LINKS targets...): static library of
# packages/NAME, or of another folder.
# Files named main_*.cc belong to programs, not to the library.
function(carobrill_package name)
  cmake_parse_arguments(ARG "" "FOLDER" "LINKS" ${ARGN})
  if(NOT ARG_FOLDER)
    set(ARG_FOLDER packages/${name})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${ARG_FOLDER}/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main_[a-z_]+\\.cc$")
  set(generated ${sources})
  list(FILTER generated INCLUDE REGEX "\\.pb\\.cc$")
  # Messages without gRPC have their own target, see carobrill_control.
  list(FILTER sources EXCLUDE REGEX "/control\\.pb\\.cc$")
  # The command-line client also validates settings, see carobrill_settings.
  list(FILTER sources EXCLUDE REGEX "/daemon/settings[a-z_]*\\.cc$")
  set(target carobrill_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    target_compile_options(${target} PRIVATE ${CAROBRILL_WARNINGS})
    target_compile_definitions(${target} PUBLIC
      CAROBRILL_CHARTS_DIRECTORY="${CMAKE_INSTALL_FULL_DATADIR}/carobrill/charts"
      CAROBRILL_VERSION="${PROJECT_VERSION}")
    if(generated)
      set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS "-w")
    endif()
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${CMAKE_SOURCE_DIR})
  target_link_libraries(${target} ${scope} ${ARG_LINKS} Threads::Threads)
endfunction()

# carobrill_program(NAME PACKAGE [INSTALL] [NEEDS headers...]): builds
# packages/PACKAGE/main_NAME.cc if that file and the NEEDS headers exist.
function(carobrill_program name package)
  cmake_parse_arguments(ARG "INSTALL" "" "NEEDS" ${ARGN})
  foreach(header ${ARG_NEEDS})
    if(NOT EXISTS ${CMAKE_SOURCE_DIR}/${header})
      return()
    endif()
  endforeach()
  set(source ${CMAKE_SOURCE_DIR}/packages/${package}/main_${name}.cc)
  if(NOT EXISTS ${source})
    return()
  endif()
  add_executable(${name} ${source})
  target_compile_options(${name} PRIVATE ${CAROBRILL_WARNINGS})
  target_link_libraries(${name} PRIVATE carobrill_${package})
  if(ARG_INSTALL)
    install(TARGETS ${name} DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endfunction()

# Adds a ctest entry for each holds.* label in the sources of a doctest binary,
# and one entry for its remaining test cases. A test case has a label if its name
# starts with it, for example TEST_CASE("holds.reclaim: ..."). Labels that begin
# with covers.* get their own entries in the same way.
function(carobrill_add_labelled_tests target prefix)
  set(labels "")
  foreach(source ${ARGN})
    file(STRINGS ${source} lines REGEX "TEST_CASE\\(\"?.*(holds|covers)\\.[a-z_]+|^ +\"(holds|covers)\\.[a-z_]+")
    foreach(line ${lines})
      string(REGEX MATCH "(holds|covers)\\.[a-z_]+" label "${line}")
      list(APPEND labels ${label})
    endforeach()
    set_property(DIRECTORY ${CMAKE_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
  endforeach()
  list(REMOVE_DUPLICATES labels)
  add_test(NAME ${prefix} COMMAND ${target} --test-case-exclude=holds.*,covers.*)
  set(names ${prefix})
  foreach(label ${labels})
    add_test(NAME ${prefix}.${label} COMMAND ${target} "--test-case=${label}*")
    set_tests_properties(${prefix}.${label} PROPERTIES LABELS ${label})
    list(APPEND names ${prefix}.${label})
  endforeach()
  # A fixed seed makes the tests reproducible.
  set_tests_properties(${names} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=7 max_success=200" TIMEOUT 300)
  set(carobrill_test_names ${names} PARENT_SCOPE)
endfunction()

# carobrill_tests(PACKAGE): one doctest binary of tests/PACKAGE/*_test.cc.
function(carobrill_tests package)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${package}/*.cc)
  if(NOT sources)
    return()
  endif()
  set(target ${package}_tests)
  add_executable(${target} ${sources} ${CMAKE_SOURCE_DIR}/tests/main.cc)
  target_compile_options(${target} PRIVATE ${CAROBRILL_WARNINGS})
  target_compile_definitions(${target} PRIVATE
    CAROBRILL_SOURCE_DIRECTORY="${CMAKE_SOURCE_DIR}")
  target_link_libraries(${target} PRIVATE carobrill_${package} doctest::doctest rapidcheck)
  carobrill_add_labelled_tests(${target} ${package} ${sources})
endfunction()

# carobrill_process_tests(): one doctest binary for the tests that start real
# processes.
function(carobrill_process_tests)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/process/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(process_tests ${sources} ${CMAKE_SOURCE_DIR}/tests/main.cc)
  target_compile_options(process_tests PRIVATE ${CAROBRILL_WARNINGS})
  target_compile_definitions(process_tests PRIVATE
    CAROBRILL_SOURCE_DIRECTORY="${CMAKE_SOURCE_DIR}"
    CAROBRILL_BINARY_DIRECTORY="${CMAKE_BINARY_DIR}")
  target_link_libraries(process_tests PRIVATE carobrill_platform doctest::doctest rapidcheck)
  carobrill_add_labelled_tests(process_tests process ${sources})
  # Process tests measure deadlines, so no other tests run at the same time.
  set_tests_properties(${carobrill_test_names} PROPERTIES RUN_SERIAL TRUE)
endfunction()

# carobrill_client_limits_tests(): clients that respect no limits, against real
# processes. One test at a time, since each measures memory under load.
function(carobrill_client_limits_tests)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/client_limits/*.cc)
  add_executable(client_limits_tests ${sources} ${CMAKE_SOURCE_DIR}/tests/process/process.cc
                 ${CMAKE_SOURCE_DIR}/tests/process/free_port.cc ${CMAKE_SOURCE_DIR}/tests/main.cc)
  target_compile_options(client_limits_tests PRIVATE ${CAROBRILL_WARNINGS})
  target_compile_definitions(client_limits_tests PRIVATE
    CAROBRILL_SOURCE_DIRECTORY="${CMAKE_SOURCE_DIR}"
    CAROBRILL_BINARY_DIRECTORY="${CMAKE_BINARY_DIR}")
  target_link_libraries(client_limits_tests PRIVATE carobrill_core carobrill_rpc
                        nlohmann_json::nlohmann_json doctest::doctest)
  carobrill_add_labelled_tests(client_limits_tests client_limits ${sources})
  set_tests_properties(${carobrill_test_names} PROPERTIES RUN_SERIAL TRUE)
endfunction()

# carobrill_soak(): fault soak of real processes, with short runs of fixed seeds
# as tests, and the tests of its parts. Long runs are made by hand.
function(carobrill_soak)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/soak/*.cc)
  set(test_sources ${sources})
  list(FILTER test_sources INCLUDE REGEX "_test\\.cc$")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  add_executable(carobrill_soak ${sources}
                 ${CMAKE_SOURCE_DIR}/tests/client_limits/crowd.cc
                 ${CMAKE_SOURCE_DIR}/tests/client_limits/rpc_traffic.cc)
  target_compile_options(carobrill_soak PRIVATE ${CAROBRILL_WARNINGS})
  target_link_libraries(carobrill_soak PRIVATE carobrill_gateway nlohmann_json::nlohmann_json)
  foreach(seed 1 2)
    add_test(NAME soak.${seed}
      COMMAND carobrill_soak --program $<TARGET_FILE:carobrilld> --seed ${seed}
              --seconds 15 --gateways 2 --agents 4)
    set_tests_properties(soak.${seed} PROPERTIES LABELS soak TIMEOUT 180 RUN_SERIAL TRUE)
  endforeach()
  # Jobs of hundreds of tasks beside schedules of thousands of occurrences.
  add_test(NAME soak.wide
    COMMAND carobrill_soak --program $<TARGET_FILE:carobrilld> --seed 3 --seconds 15
            --gateways 2 --agents 4 --wide-percent 20 --schedules 3)
  set_tests_properties(soak.wide PROPERTIES LABELS soak TIMEOUT 180 RUN_SERIAL TRUE)
  add_executable(soak_tests ${test_sources} ${CMAKE_SOURCE_DIR}/tests/soak/socket_owner.cc
                 ${CMAKE_SOURCE_DIR}/tests/main.cc)
  target_compile_options(soak_tests PRIVATE ${CAROBRILL_WARNINGS})
  target_link_libraries(soak_tests PRIVATE carobrill_core carobrill_rpc doctest::doctest)
  carobrill_add_labelled_tests(soak_tests soak.parts ${test_sources})
  set_tests_properties(${carobrill_test_names} PROPERTIES RUN_SERIAL TRUE)
endfunction()
