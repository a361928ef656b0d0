# add_package(<name> SOURCES ... [DEPENDS ...])
# A static library magnoliaspread::<name> with a public include/ folder, a
# private src/ folder, and one test program when tests/ holds any source.
function(add_package Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(Target magnoliaspread_${Name})
  add_library(${Target} STATIC ${ARG_SOURCES})
  add_library(magnoliaspread::${Name} ALIAS ${Target})
  set_target_properties(${Target} PROPERTIES EXPORT_NAME ${Name})
  target_include_directories(${Target}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE src)
  target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic)
  target_link_libraries(${Target} PUBLIC ${ARG_DEPENDS})
  install(TARGETS ${Target} EXPORT magnoliaspreadTargets)
  if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/include)
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()
  add_package_tests(${Name} ${Target})
endfunction()

# Builds tests/*.cpp into one test program and registers it with ctest.
function(add_package_tests Name)
  file(GLOB TestSources CONFIGURE_DEPENDS tests/*.cpp)
  if(NOT TestSources OR NOT MAGNOLIASPREAD_TESTS)
    return()
  endif()
  add_executable(test_${Name} ${TestSources})
  target_include_directories(test_${Name} PRIVATE src tests)
  target_compile_options(test_${Name} PRIVATE -Wall -Wextra)
  target_link_libraries(test_${Name} PRIVATE ${ARGN}
                        magnoliaspread::testing)
  add_test(NAME ${Name} COMMAND test_${Name})
  set_tests_properties(${Name} PROPERTIES TIMEOUT 300)
endfunction()
