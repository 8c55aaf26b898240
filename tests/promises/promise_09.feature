@promise_9
Feature: Every planned stop is graceful

  Scenario Outline: promise 9 when stopped: <what>
    Given a site with running tasks and slow requests in flight
    When <what> gets SIGTERM
    Then each request in flight is answered done
    And the stopped processes exited with status 0
    And no task was interrupted
    And after the restart the site serves requests and tasks

    Examples: stops
      | what                          |
      | an entry                      |
      | the owner                     |
      | the other scheduler           |
      | an agent                      |
      | every agent in turn           |
      | every process in turn         |
