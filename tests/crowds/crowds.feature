Feature: Crowds of misbehaving clients end no process

  Each process may use 128 MB and 400 descriptors, 200 of which are reserved, as
  its settings say. Memory counts with what has arrived and is not read yet.

  Scenario Outline: A gateway outlives a crowd that sends <shape> to <place>
    Given a gateway in a cluster of real processes
    When a crowd sends <shape> to <place>, at the port for callers
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary request is answered, at each of its ports
    And nothing is kept for the clients that have left

    Examples:
      | shape                                      | place          |
      | bodies in one piece, short of their end    | a route        |
      | bodies in one piece, short of their end    | no route       |
      | bodies in one piece, short of their end    | an unknown key |
      | bodies in one piece, short of their end    | no id          |
      | whole bodies                               | a route        |
      | bodies in small pieces, short of their end | a route        |
      | bodies in small chunks, short of their end | a route        |
      | bodies far over the limit, with a length   | a route        |
      | bodies far over the limit, in chunks       | a route        |
      | bodies that come very slowly               | a route        |
      | trailers without end                       | a route        |
      | heads with a value without end             | a route        |
      | heads of many fields, without bodies       | a route        |
      | heads of many fields, short of their end   | a route        |
      | requests sent ahead                        | a route        |
      | requests sent ahead, read slowly           | a route        |
      | short requests without a route sent ahead  | no route       |
      | large responses that nobody reads          | a route        |
      | connections that send nothing              | a route        |

  Scenario Outline: A gateway with room for the connections outlives a crowd that sends <shape>
    Given a gateway with 1200 descriptors in a cluster of real processes
    When a crowd sends <shape> to a route, at the port for callers
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary request is answered, at each of its ports
    And nothing is kept for the clients that have left

    Examples:
      | shape                                    |
      | heads of many fields, without bodies     |
      | heads of many fields, short of their end |
      | requests of many fields, then nothing    |
      | bodies that come very slowly             |
      | large responses that nobody reads        |

  Scenario Outline: A gateway outlives a crowd at its port for <port> that sends <shape>
    Given a gateway in a cluster of real processes
    When a crowd sends <shape> to <place>, at the port for <port>
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary request is answered, at each of its ports
    And nothing is kept for the clients that have left

    Examples:
      | port    | place           | shape                                      |
      | ready   | the ready check | bodies in one piece, short of their end    |
      | ready   | the ready check | bodies in small chunks, short of their end |
      | ready   | the ready check | trailers without end                       |
      | ready   | the ready check | heads with a value without end             |
      | ready   | the ready check | heads of many fields, without bodies       |
      | ready   | the ready check | heads of many fields, short of their end   |
      | ready   | the ready check | requests sent ahead                        |
      | ready   | the ready check | short requests without a route sent ahead  |
      | ready   | the ready check | connections that send nothing              |
      | metrics | the metrics     | bodies in one piece, short of their end    |
      | metrics | the metrics     | trailers without end                       |
      | metrics | the metrics     | heads with a value without end             |
      | metrics | the metrics     | heads of many fields, short of their end   |
      | metrics | the metrics     | requests sent ahead                        |
      | metrics | the metrics     | short requests without a route sent ahead  |
      | metrics | the metrics     | connections that send nothing              |

  Scenario Outline: A coordinator outlives a crowd that sends <shape>
    Given a coordinator in a cluster of real processes
    When a crowd sends <shape> to the configuration, at the port for control
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary configuration is acknowledged

    Examples:
      | shape                                      |
      | bodies in one piece, short of their end    |
      | bodies in small chunks, short of their end |
      | bodies that come very slowly               |
      | trailers without end                       |
      | heads with a value without end             |
      | heads of many fields, without bodies       |
      | requests sent ahead                        |
      | short requests without a route sent ahead  |
      | connections that send nothing              |

  Scenario Outline: An entry outlives a crowd that sends <shape>
    Given an entry as a real process
    When a crowd sends <shape> to an entry, at the port for entry
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary request to the entry is answered

    Examples:
      | shape                                      |
      | bodies in one piece, short of their end    |
      | bodies in small pieces, short of their end |
      | bodies in small chunks, short of their end |
      | bodies far over the limit, with a length   |
      | bodies far over the limit, in chunks       |
      | bodies that come very slowly               |
      | trailers without end                       |
      | heads with a value without end             |
      | heads of many fields, without bodies       |
      | heads of many fields, short of their end   |
      | requests sent ahead                        |
      | short requests without a route sent ahead  |
      | connections that send nothing              |

  Scenario Outline: A gateway with little memory serves one large request, <how>
    Given a gateway in a cluster of real processes
    When one request of <size> bytes is sent <how>
    Then it is answered with status 200
    And it lives, within the memory and the descriptors of its machine

    Examples:
      | size    | how                      |
      | 4194304 | in one piece             |
      | 4194304 | in pieces of 1000 bytes  |
      | 20000   | in pieces of 1 byte      |
      | 4194304 | in chunks of 32 bytes    |
      | 4194304 | after 100 Continue       |
      | 4194304 | behind another request   |

  Scenario Outline: The third crowd that sends <shape> adds nothing to the first
    Given a gateway in a cluster of real processes
    When three crowds, one after another, send <shape>
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary request is answered, at each of its ports
    And nothing is kept for the clients that have left

    Examples:
      | shape                                      |
      | bodies in one piece, short of their end    |
      | bodies in small pieces, short of their end |
      | requests sent ahead                        |

  Scenario: A gateway outlives two kinds of crowds at once
    Given a gateway in a cluster of real processes
    When one crowd sends bodies in one piece, short of their end while another one sends requests sent ahead
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary request is answered, at each of its ports
    And nothing is kept for the clients that have left

  Scenario: A gateway outlives a crowd while the limits change
    Given a gateway in a cluster of real processes
    When a crowd sends bodies in one piece, short of their end while the limits change
    Then it lives, within the memory and the descriptors of its machine
    And an ordinary request is answered, at each of its ports
    And nothing is kept for the clients that have left

  Scenario Outline: A gateway stops in time beside a crowd that sends <shape>
    Given a gateway in a cluster of real processes
    When a crowd sends <shape> while the gateway gets SIGTERM
    Then it ends within its grace time, and has answered what it had read

    Examples:
      | shape                                   |
      | bodies in one piece, short of their end |
      | requests sent ahead                     |
