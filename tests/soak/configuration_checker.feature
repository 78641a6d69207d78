Feature: What the soak checks of the configuration

  Scenario Outline: The checker notices that a promise is broken
    Given versions 5, 7 and 9 that were acknowledged at 10, 20 and 30 s
    When <what happens>
    Then it reports <promise>

    Examples:
      | promise | what happens                                        |
      | P1      | a gateway in touch obeys version 7 at 33 s          |
      | P1      | a gateway in touch has no route of version 9 at 33 s |
      | P2      | added routes are refused in calm                    |
      | P3      | version 9 is sent again and refused                 |
      | P4      | version 9 is read with other content                |
      | P5      | version 7 is read at 33 s                           |
      | P6      | a gateway obeys version 7 after version 9           |
      | P7      | an invalid configuration is acknowledged            |
      | P7      | a gateway obeys an invalid configuration            |
      | P8      | version 7 is read at the end                        |
      | P9      | ten requests are answered 1 s after their timeout   |

  Scenario Outline: The checker accepts what is allowed
    Given versions 5, 7 and 9 that were acknowledged at 10, 20 and 30 s
    When <what happens>
    Then it reports nothing

    Examples:
      | what happens                                                      |
      | a gateway in touch obeys version 7 at 32 s                        |
      | a gateway that was stopped at 32 s obeys version 7 at 33 s        |
      | a gateway obeys version 7 at 36 s after a coordinator was stopped |
      | version 9 is sent again and acknowledged                          |
      | version 7 is read at 32 s                                         |
