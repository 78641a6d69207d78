Feature: The platform's formats

  Scenario: A SIGHUP while the process starts does not end it
    Then a gateway that gets SIGHUP before it has read its settings reports them

  Scenario: All errors in the settings file are reported at once
    Given a platform settings file for a gateway with three faults
    Then it is rejected with an error naming "InternalPorts", "Zone" and "Listen.Front"

  Scenario: A process with a faulty settings file ends with exit code 2
    Given a platform settings file for a gateway with three faults
    Then the gateway's process prints one line and ends with exit code 2

  Scenario: Unknown fields in the settings file are ignored
    Given a platform settings file with an unknown field
    Then its seeds are the peer addresses of the coordinators

  Scenario Outline: An invalid configuration is rejected
    Given a platform configuration with <change>
    Then decoding it fails with "<reason>"

    Examples:
      | change                 | reason                  |
      | its end cut off        | cannot be decoded       |
      | a string as version    | not an integer          |
      | no routes              | Routes is missing       |
      | an unknown kind        | is missing              |
      | an unknown service     | names the unknown       |
      | a timeout of 0         | the timeout             |
      | a string as timeout    | is not a number         |
      | no number as timeout   | is not a number         |
      | a flag as timeout      | is not a number         |
      | no number as weight    | is not a number         |
      | a flag as weight       | is not a number         |
      | a string as priority   | is not a number         |
      | a string as rank       | is not a number         |
      | a string as flag       | is not a flag           |
      | a string as keys       | is not a list           |
      | an object as routes    | is not a list           |
      | a version of 2^63      | the version is above    |
      | a foreign Service      | names the unknown       |

  Scenario: A key that one workspace lists twice is no shared key
    Given a platform configuration with a key twice in one workspace
    Then it is decoded

  Scenario: A change of one route decodes that route only
    Decoding thousands of routes for each change makes gateways late.
    Given a decoder that has decoded a configuration with 300 routes
    When the timeout of one route changes
    Then 1 route is decoded
    And the configuration has 300 routes and the new timeout

  Scenario: A flag that becomes the number equal to it is decoded
    Given a decoder that has decoded a configuration with 300 routes
    When the timeout of one route becomes 1 and then a flag
    Then it is rejected with "is not a number"

  Scenario: A service that a split route names beside its weights must exist
    Given a decoder that has decoded a configuration with 300 routes
    When one route is split and its unused service goes away
    Then it is rejected with "names the unknown service"

  Scenario: A route that has not changed is invalid once its service is gone
    Given a decoder that has decoded a configuration with 300 routes
    When the service of the routes is renamed
    Then it is rejected with "names the unknown service"

  Scenario: An invalid configuration leaves nothing behind in the decoder
    Given a decoder that has decoded a configuration with 300 routes
    When the timeout of one route becomes 0 and is sent twice
    Then it is rejected with "the timeout of route"

  Scenario Outline: An invalid heartbeat is rejected
    Given a platform heartbeat with <change>
    Then decoding the heartbeat fails with "<reason>"

    Examples:
      | change                 | reason            |
      | its end cut off        | cannot be decoded |
      | no address             | Address           |
      | a malformed address    | is not ip:port    |
      | an unknown state       | missing or wrong  |
      | a list as body         | is not an object  |
      | a number as zone       | is not a string   |
      | a string as slots      | is not an integer |
      | a string as born       | is not an integer |
      | a number as models     | is not a list     |
      | an unknown group state | not a state of a  |
      | a string as epoch      | is not an integer |
      | no slots               | Slots             |
      | no version             | Version           |
      | a number as version    | is not a string   |
      | no cold time           | ColdLeftMs        |
      | a string as cold time  | is not a number   |
      | slots below 0          | out of range      |
      | slots of 64 bits       | out of range      |
      | a sequence of 64 bits  | out of range      |
      | an epoch of 64 bits    | out of range      |
      | a rank of 64 bits      | out of range      |
      | a start of 64 bits     | out of range      |
      | port 0                 | is not ip:port    |
      | port 65536             | is not ip:port    |
      | an id of two lines     | is not an id      |

  Scenario Outline: An invalid deregistration ends no server
    Then decoding a deregistration with <body> fails with "<reason>"

    Examples:
      | body                | reason            |
      | a list              | is not an object  |
      | its end cut off     | cannot be decoded |
      | a string as born    | is not an integer |
      | a start of 64 bits  | out of range      |

  Scenario: A server's incarnation is decoded from each of its messages
    Given a server that started at 1784102400123
    Then its heartbeat, report and deregistration contain that start time
    And a deregistration without a body contains no start time

  Scenario: A caller's key is not forwarded and its workspace can't be forged
    A caller sends the header that names its workspace to replicas. If it were
    forwarded, the caller could act for another workspace.
    Given a platform request with a forged workspace
    Then the replica receives workspace "crew" once and no key

  Scenario Outline: A number that no request can mean is refused, and ends no handler
    Then a request with "<field>" of <value> cannot be decoded

    Examples:
      | field         | value              |
      | Time-Budget   | 400 nines          |
      | Time-Budget   | 5000 nines         |
      | Time-Budget   | soon               |
      | Token-Count   | 400 nines          |
      | Token-Count   | -5,3               |
      | Last-Event-Id | 400 nines          |
      | Last-Event-Id | -1                 |

  Scenario Outline: The shared parts of a prompt are read from any header
    A header that cannot be read in full is no reason to refuse a request.
    Then a request whose prompt parts are "<header>" shares "<parts>"

    Examples:
      | header                      | parts      |
      | 5c1e:800,91bd:410,e440:250  | 5c1e,91bd  |
      | 5C1E:800, 91bd:410 ,e440:25 | 5c1e,91bd  |
      | 5c1e:800,5c1e:800,e440:25   | 5c1e       |
      | 5c1e,x:y:z,:,,e440          | 5c1e,x     |
      | e440:250                    |            |
      |                             |            |

  Scenario: Only the first parts of a prompt are considered, and all are forwarded
    Then a request with 1000 prompt parts shares 64 and is forwarded with all

  Scenario: Headers that concern only one connection are not forwarded
    Given a platform request with connection headers
    Then the replica receives none of them

  Scenario Outline: The rate limit that a replica reports is decoded
    Given a replica's response that reports the limit "<text>"
    Then its limit is <limit>

    Examples:
      | text  | limit |
      | 1.5   | 1.5   |
      | 0     | 0     |
      | -2    | 0     |
      |       | none  |
      | soon  | none  |
      | nan   | none  |
      | inf   | none  |

  Scenario Outline: The pause that a replica requests is decoded
    Given a replica's response with status <status>, pause "<text>" and leaving "0"
    Then its pause is <pause>

    Examples:
      | status | text  | pause |
      | 503    | 3     | 3     |
      | 503    | 0.25  | 0.25  |
      | 429    | 3     | 3     |
      | 503    | -1    | 0     |
      | 503    | 1e300 | 86400 |
      | 503    | soon  | none  |
      | 503    | nan   | none  |
      | 200    | 3     | none  |

  Scenario Outline: A leaving replica is recognized in any response
    Given a replica's response with status <status>, pause "1" and leaving "<text>"
    Then it is <state>

    Examples:
      | status | text | state       |
      | 200    | 1    | leaving     |
      | 503    | 1    | leaving     |
      | 500    | 1    | leaving     |
      | 200    | 0    | not leaving |
      | 421    | 1    | not leaving |

  Scenario Outline: The server at fault is decoded from responses with status 503 only
    Status 421 names the server that has the address now, which is not at fault.
    Given a replica's response with status <status> that names "i-1" as at fault
    Then the server at fault is "<name>"

    Examples:
      | status | name |
      | 503    | i-1  |
      | 421    |      |
      | 200    |      |

  Scenario: A malformed header is named in the log
    Given a replica's response with status 503, pause "soon" and leaving "0"
    Then it names the malformed header "retry-after"
