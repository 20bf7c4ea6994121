include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS agatetided agatetidectl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(DIRECTORY proto/agatetide DESTINATION ${CMAKE_INSTALL_DATADIR}/agatetide/proto)

# The coordination library can be installed and used without the daemon and HTTP.
install(TARGETS agatetide_base agatetide_coordination
  EXPORT agatetide ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/agatetide/base include/agatetide/coordination
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/agatetide)
install(EXPORT agatetide NAMESPACE agatetide::
  FILE agatetide-targets.cmake DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/agatetide)
configure_file(cmake/agatetide-config.cmake.in agatetide-config.cmake @ONLY)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/agatetide-config.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/agatetide)
