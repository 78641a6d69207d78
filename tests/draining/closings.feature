Feature: Ends of connections that cross what their callers do

  Scenario: A caller that leaves just before its half head is refused ends no process
    The shutdown of a socket whose peer has reset it raises an error.
    Then a stop refuses a half head whose caller has just closed its connection
