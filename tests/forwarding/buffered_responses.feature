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

  Scenario Outline: Events without end fail once they take the memory for buffers
    Of each stream an event is kept until it is complete.
    Given a gateway that may buffer <limit> KiB of responses
    When <count> streams each get <size> KiB of an event without end
    Then at most <limit> KiB and a piece are buffered
    And <failed> attempts have failed because of event_too_long

    Examples:
      | limit | count | size | failed |
      | 1024  | 2     | 300  | 0      |
      | 512   | 2     | 300  | 1      |
      | 512   | 4     | 300  | 3      |
      | 64    | 4     | 15   | 0      |
      | 9999  | 1     | 1030 | 1      |

  Scenario: An event id of very many digits fails its attempt only
    Given a gateway that may buffer 1024 KiB of responses
    When a stream gets an event whose id has 5000 digits
    Then 1 attempts have failed because of event_gap
