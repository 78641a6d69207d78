Feature: Requests whose bodies do not end are refused in time

  Scenario Outline: A body has no more time than its caller allows
    The timeout of the route is for the response, not for a caller that is slow.
    Given a request to a route with a timeout of 4 s whose caller allows <allows>
    When <before> s after its head its body is not complete
    Then nothing has happened to it
    When <after> s after its head its body is not complete
    Then it is refused with status 408, which says that it has not run

    Examples:
      | allows | before | after |
      | 1 s    | 0.9    | 1.1   |
      | 10 s   | 9.9    | 10.1  |

  Scenario: A body whose caller allows any time is not refused for its age
    Given a request to a route with a timeout of 4 s whose caller allows any time
    When 60 s after its head its body is not complete
    Then nothing has happened to it
