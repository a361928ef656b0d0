include(CMakeFindDependencyMacro)
find_dependency(Threads)
find_dependency(Boost 1.81 COMPONENTS json url)
include("${CMAKE_CURRENT_LIST_DIR}/magnoliaspreadTargets.cmake")
