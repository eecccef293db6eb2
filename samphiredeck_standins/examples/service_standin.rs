//! Simulated plain service as a separate process. Prints its address.

use std::net::TcpListener;

use samphiredeck_standins::service::serve;

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    println!("listening {}", listener.local_addr()?);
    serve(listener).await
}
