Feature: Ends of connections that cross what their callers do

  Scenario: A caller that leaves just before its half head is refused ends no process
    The shutdown of a socket whose peer has reset it raises an error.
    Then a stop refuses a half head whose caller has just closed its connection

  Scenario: A connection that is accepted in the last step of a stop is not cut
    Between the kernel's accept and the first callback a connection is in no list.
    Then a request that is sent 0 to 8 turns before the last step is not cut

  Scenario: A malformed request does not get the place of the response before it
    The parser rejects the target after the head has been read.
    Then a request with a malformed target behind another one is rejected second

  Scenario: Trailers that are too long cut no response before them
    Then too long trailers behind another request leave its response complete

  Scenario: A failure while one request is ended leaves the others their end
    Then a stop that fails to end one of two requests refuses the other one

  Scenario: Trailers are not taken for headers of their request
    Whether they are there when the request is handled depends on the reads.
    Then a request that arrives at once with its trailers has the headers of its head

  Scenario: An operator's call that has its outcome is not refused at the end
    Between the outcome and its response lies a turn of the event loop.
    Then a call is pending until its handler has its outcome
