Feature: Requests whose handler fails

  Scenario Outline: A failed handler is one line with the id of its request, and no text
    The HTTP server printed a traceback that named no request, and answered with
    a bare 500 of its own.
    When the handler of a request <fails> in <an application>
    Then the caller of it sees <response>
    And the log has one line "handler_failed" with its ids, <why>, and no text

    Examples:
      | an application        | fails                             | response               | why            |
      | a plain application   | raises before its response        | a JSON 500 and a close | why ValueError |
      | a plain application   | raises within its response        | an incomplete response | why ValueError |
      | a plain application   | is cancelled before its response  | nothing but a close    | why cancelled  |
      | a plain application   | is cancelled within its response  | an incomplete response | why cancelled  |
      | an application of views | raises before its response      | a JSON 500 and a close | why ValueError |
      | an application of views | raises within its response      | an incomplete response | why ValueError |
      | an application of views | is cancelled within its response | an incomplete response | why cancelled  |

  Scenario: An entry whose handler fails answers with a problem
    When the handler of a request raises at an entry
    Then its caller gets a problem that says that the request may have run

  Scenario: A caller that leaves within its request is no failure of a handler
    When the caller of an application of views leaves within its body
    Then the log has no line and no text

  Scenario: A gateway whose handler fails goes on with none of its request
    Then a replica's run ends once the handler of its request has failed
    And a body is forgotten once the handler of its request has failed

  Scenario: The gateway's servers report handlers that fail
    Then a handler that fails at a gateway's port for callers, readiness or metrics has a line
