//! Generates the messages and stubs of the mesh service. `protox` replaces `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/mesh.proto");
    let files = protox::compile(["proto/mesh.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .compile_fds(files)?;
    Ok(())
}
