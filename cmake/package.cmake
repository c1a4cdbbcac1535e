# Defines, installs and exports a library package with sources in src/ and public headers in include/.
# Usage: vanillahall_package(NAME PUBLIC lib... PRIVATE lib...)
function(vanillahall_package name)
    cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
    set(target vanillahall_${name})
    add_library(${target} STATIC ${sources})
    add_library(vanillahall::${name} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(${target}
        PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic)
    target_link_libraries(${target} PUBLIC ${ARG_PUBLIC} PRIVATE ${ARG_PRIVATE})
    install(TARGETS ${target} EXPORT vanillahall-${name} ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT ${name})
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} COMPONENT ${name})
    install(EXPORT vanillahall-${name} NAMESPACE vanillahall:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/vanillahall COMPONENT ${name})
endfunction()

# The configuration file of find_package(vanillahall COMPONENTS ...). It is installed with `core`, on which all other packages depend.
function(vanillahall_install_config)
    include(CMakePackageConfigHelpers)
    write_basic_package_version_file(${CMAKE_BINARY_DIR}/vanillahallConfigVersion.cmake COMPATIBILITY SameMinorVersion)
    install(FILES ${CMAKE_SOURCE_DIR}/cmake/vanillahallConfig.cmake ${CMAKE_BINARY_DIR}/vanillahallConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/vanillahall COMPONENT core)
endfunction()
