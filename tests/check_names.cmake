# Fails where a test's name holds the bytes of an object: such names differ from run to run.
execute_process(COMMAND ${CTEST} -N WORKING_DIRECTORY ${BUILD} OUTPUT_VARIABLE tests RESULT_VARIABLE failed)
if(failed OR NOT tests MATCHES "Total Tests: [1-9]")
  message(FATAL_ERROR "no list of tests")
endif()
if(tests MATCHES "[^\n]*-byte object <[^\n]*")
  message(FATAL_ERROR "a test is named by bytes: ${CMAKE_MATCH_0}")
endif()
