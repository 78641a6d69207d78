Feature: Input of connections is split at the ends of requests

  Scenario: Requests are the same however their bytes arrive
    Requests with lengths, with chunks and trailers, and without bodies, some of
    them behind others, are cut at random bytes. Chunks may look like a head's end.
    Then 150 random series of requests are handled as they were sent

  Scenario: A large body in single bytes is handled as it was sent
    Then a body of 20000 bytes in chunks of 1 byte is handled as it was sent

  Scenario Outline: A request within the limits is served, at its largest
    Then a request with <what> is answered with status 200

    Examples:
      | what                                     |
      | a head of 16384 bytes in one field       |
      | a head of 16384 bytes in fields of two   |
      | a body of 4194304 bytes, with a length   |
      | a body of 4194304 bytes, in small pieces |
      | a body of 4194304 bytes, in small chunks |

  Scenario Outline: Input without end is rejected before it is kept
    Then <what> without end is answered with status <status> and takes no more than 64 KiB

    Examples:
      | what          | status |
      | a target      | 431    |
      | a field name  | 431    |
      | a field value | 431    |
      | empty lines   | 431    |
      | a chunk size  | 431    |
      | an extension  | 431    |
      | a trailer     | 431    |
      | a method      | 400    |

  Scenario Outline: A request that asks for an upgrade is handled without one, or not at all
    The parser takes what follows its head for the next request.
    Then a head that asks for an upgrade, with <body>, gets status <status>

    Examples:
      | body                         | status |
      | no body                      | 200    |
      | a body of 0 bytes            | 200    |
      | a body that looks like one   | 400    |
      | chunks that look like one    | 400    |

  Scenario: A caller that closes behind a queued request is noticed
    Then a caller that sends two requests and leaves ends the first one
