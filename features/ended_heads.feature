Feature: A response whose head ends early is none

  Scenario Outline: A server closes the connection within the head of its response
    Given a response with <framing>
    When a server sends each part of its head that ends early, and closes the connection
    Then the "<client>" client gets no response from any of them, and the whole one from all of it

    Examples:
      | framing                    | client        |
      | a length                   | entry role    |
      | chunks                     | entry role    |
      | neither                    | entry role    |
      | an interim response        | entry role    |
      | a length                   | other roles   |
      | chunks                     | other roles   |
      | neither                    | other roles   |
      | an interim response        | other roles   |
