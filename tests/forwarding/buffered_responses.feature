Feature: Responses are buffered as far as the memory for them allows

  Scenario Outline: A response starts early when the others take the memory for buffers
    Otherwise each request could make the gateway hold half a MiB.
    Given a gateway that may buffer <limit> KiB of responses
    When <count> servers each send <size> KiB of a response that goes on
    Then <started> of these responses have started

    Examples:
      | limit | count | size | started |
      | 1024  | 2     | 300  | 0       |
      | 512   | 2     | 300  | 1       |
      | 512   | 4     | 300  | 3       |
      | 64    | 4     | 16   | 0       |
      | 1024  | 1     | 600  | 1       |
