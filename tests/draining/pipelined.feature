Feature: Requests that callers send before they have the previous response

  Scenario: Two requests sent at once after SIGTERM both get a response
    The head of the first response must not announce the end of the connection.
    Then both of two requests that are sent at once after SIGTERM are answered

  Scenario: A request sent behind a stream that began before SIGTERM is answered
    The head of the stream has not announced the end of the connection.
    Then a request sent 0.6 s after SIGTERM behind an older stream is answered

  Scenario: The log names a request that is queued behind a cut response
    Then a request queued behind a stream that its replica breaks off is logged
