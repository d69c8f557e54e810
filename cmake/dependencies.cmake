find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(gRPC CONFIG REQUIRED)
find_package(Boost 1.81 REQUIRED)
if(CAROBRILL_TESTS)
  find_package(doctest CONFIG REQUIRED)
  find_package(rapidcheck CONFIG REQUIRED)
endif()
find_package(nlohmann_json CONFIG REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(GLIB REQUIRED IMPORTED_TARGET glib-2.0 gio-2.0)
pkg_check_modules(SOUP REQUIRED IMPORTED_TARGET libsoup-3.0)

# easylogging++ ships as a header and one source file, so it is compiled here.
# Its CHECK macros would silently replace those of doctest.
find_file(EASYLOGGING_SOURCE easylogging++.cc REQUIRED)
add_library(easyloggingpp STATIC ${EASYLOGGING_SOURCE})
target_compile_definitions(easyloggingpp PUBLIC ELPP_NO_CHECK_MACROS
                           ELPP_NO_DEFAULT_LOG_FILE ELPP_THREAD_SAFE)
